#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail

packages=(
    g++ cmake ninja-build make clang-format clang-tidy ccache python3 gnuplot-nox
    libboost-dev libboost-system-dev libboost-coroutine-dev libboost-context-dev
    libwebsocketpp-dev libcli11-dev libeasyloggingpp-dev cpputest libcpputest-dev
    nlohmann-json3-dev libxxhash-dev librapidcheck-dev libssl-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -q >/dev/null
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}" >/dev/null
