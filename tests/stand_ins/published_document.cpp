#include "tests/stand_ins/published_document.h"

#include <algorithm>

namespace fuchsiagauge::stand_in {

std::uint64_t published_document::publish(
    std::string body, std::optional<std::uint64_t> revision, double nowMs)
{
    const auto next = revision.value_or(getLatest().revision + 1);
    m_versions.push_back({ next, std::move(body), nowMs });
    return next;
}

const document_version& published_document::getLatest() const { return m_versions.back(); }

const document_version& published_document::getVersion(std::uint64_t revision) const
{
    const auto found = std::find_if(m_versions.rbegin(), m_versions.rend(),
        [&](const document_version& version) { return version.revision <= revision; });
    return found == m_versions.rend() ? m_versions.front() : *found;
}

const document_version& published_document::getLaggingVersion(double lagMs, double nowMs) const
{
    const auto found = std::find_if(m_versions.rbegin(), m_versions.rend(),
        [&](const document_version& version) { return version.publishedAtMs + lagMs <= nowMs; });
    return found == m_versions.rend() ? m_versions[std::min<std::size_t>(1, m_versions.size() - 1)] : *found;
}

} // namespace fuchsiagauge::stand_in
