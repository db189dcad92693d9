#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace fuchsiagauge {

/// One step of a delta: bytes as they are, or a chunk that the receiver has.
struct delta_step {
    std::string literal; ///< Bytes to append; used when chunkHash is 0.
    std::uint64_t chunkHash = 0; ///< Hash of the receiver's chunk to append.

    friend bool operator==(const delta_step& a, const delta_step& b)
    {
        return std::tie(a.literal, a.chunkHash) == std::tie(b.literal, b.chunkHash);
    }
    friend bool operator!=(const delta_step& a, const delta_step& b) { return !(a == b); }
};

/// Cuts a text into chunks at places that its content chooses, so that an edit changes few chunks.
///
/// Chunks grow with the text, so that a text of 1 MiB has about 256.
/// @return the chunks, in order; together they are the text.
std::vector<std::string> splitIntoChunks(const std::string& text);

/// @return the hashes of a text's chunks, in order, without repeats.
std::vector<std::uint64_t> hashChunks(const std::string& text);

/// Describes a text in terms of what a receiver has.
/// @param text the text to send.
/// @param receiverChunks the hashes of the receiver's chunks; empty if it has nothing.
/// @return the steps that rebuild the text.
std::vector<delta_step> makeDelta(const std::string& text, const std::vector<std::uint64_t>& receiverChunks);

/// Rebuilds a text.
/// @param base the text whose chunk hashes were sent.
/// @param steps the steps.
/// @param maxBytes largest text accepted.
/// @return the text, or nothing with error_kind::BadPeerMessage; the caller checks its digest.
std::optional<std::string> applyDelta(
    const std::string& base, const std::vector<delta_step>& steps, std::size_t maxBytes);

} // namespace fuchsiagauge
