#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge::stand_in {

/// One published version of a document.
struct document_version {
    std::uint64_t revision = 0;
    std::string body;
    double publishedAtMs = 0; ///< In the time of published_document::publish().
};

/// A document published by the platform, with all its versions.
class published_document {
public:
    /// Publishes a new version.
    /// @param body the content of the document.
    /// @param revision revision of the new version; nothing: the latest revision plus 1.
    /// @param nowMs the current time in milliseconds.
    /// @return the revision of the new version.
    std::uint64_t publish(std::string body, std::optional<std::uint64_t> revision, double nowMs);

    /// @return the version published last; its revision is 0 if nothing has been published.
    const document_version& getLatest() const;

    /// @return the version published last among those whose revision is at most `revision`.
    const document_version& getVersion(std::uint64_t revision) const;

    /// @return the latest version that was published at least `lagMs` ago; if none, the first published one.
    const document_version& getLaggingVersion(double lagMs, double nowMs) const;

private:
    std::vector<document_version> m_versions { document_version {} };
};

} // namespace fuchsiagauge::stand_in
