#pragma once

// Precompiled header: headers that are slow to compile and do not change.

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>
