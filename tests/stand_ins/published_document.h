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
    double publishedAtMs = 0;
};

/// A document that the platform publishes, with the versions it had before.
class published_document {
public:
    /// Publishes a version.
    /// @param body the document.
    /// @param revision forced revision; nothing: the last one and 1.
    /// @param nowMs the present instant.
    /// @return the revision.
    std::uint64_t publish(std::string body, std::optional<std::uint64_t> revision, double nowMs);

    /// @return the version published last; revision 0 when there is none.
    const document_version& getLatest() const;

    /// @return the version of that revision published last, or the latest older one; else the first.
    const document_version& getVersion(std::uint64_t revision) const;

    /// @return the latest version that was published at least `lagMs` ago; else the first.
    const document_version& getLaggingVersion(double lagMs, double nowMs) const;

private:
    std::vector<document_version> m_versions { document_version {} };
};

} // namespace fuchsiagauge::stand_in
