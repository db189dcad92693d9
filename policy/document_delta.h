#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace fuchsiagauge {

/// One step of a delta: literal bytes, or a reference to a chunk that the receiver already has.
struct delta_step {
    std::string literal; ///< Bytes to append. Used only if chunkHash is 0.
    std::uint64_t chunkHash = 0; ///< Hash of the receiver's chunk to append; 0 for a literal.

    friend bool operator==(const delta_step& a, const delta_step& b)
    {
        return std::tie(a.literal, a.chunkHash) == std::tie(b.literal, b.chunkHash);
    }
    friend bool operator!=(const delta_step& a, const delta_step& b) { return !(a == b); }
};

/// Splits a text into content-defined chunks, so that an edit changes only the chunks near it.
///
/// The average chunk size grows with the text: a text of 1 MiB has about 256 chunks.
/// @return the chunks in order; concatenated, they give the text.
std::vector<std::string> splitIntoChunks(const std::string& text);

/// @return the hashes of a text's chunks, in order and without duplicates.
std::vector<std::uint64_t> hashChunks(const std::string& text);

/// Computes the delta from which a receiver can rebuild a text.
/// @param text the text to send.
/// @param receiverChunks the hashes of the chunks that the receiver has; empty if it has none.
/// @return the steps that rebuild the text, in order.
std::vector<delta_step> makeDelta(const std::string& text, const std::vector<std::uint64_t>& receiverChunks);

/// Rebuilds a text from a delta.
/// @param base the text whose chunk hashes were sent with the request.
/// @param steps the steps of the delta, in order.
/// @param maxBytes size limit of the rebuilt text, in bytes.
/// @return the text, or nothing with error_kind::BadPeerMessage. The digest is not verified here.
std::optional<std::string> applyDelta(
    const std::string& base, const std::vector<delta_step>& steps, std::size_t maxBytes);

} // namespace fuchsiagauge
