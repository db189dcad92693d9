#include "policy/document_delta.h"

#include "core/digest.h"
#include "core/error.h"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <unordered_set>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t minAverageChunkBytes = 256;
    constexpr std::size_t expectedChunkCount = 256;

    /// @return the table of the Gear rolling hash: a fixed pseudo-random 64-bit value for each byte value.
    std::array<std::uint64_t, 256> makeGearTable()
    {
        std::array<std::uint64_t, 256> table {};
        for (std::size_t i = 0; i < table.size(); ++i)
            table[i] = computeHash("gear" + std::to_string(i));
        return table;
    }

    /// @return the average chunk size for a text, in bytes. It is a power of two, so that successive
    /// revisions of similar size are split with the same average and share their chunks.
    std::size_t getAverageChunkBytes(std::size_t textBytes)
    {
        std::size_t bytes = minAverageChunkBytes;
        while (bytes * expectedChunkCount < textBytes)
            bytes *= 2;
        return bytes;
    }

    std::uint64_t hashChunk(const std::string& chunk)
    {
        const auto hash = computeHash(chunk);
        return hash == 0 ? 1 : hash;
    }

} // namespace

std::vector<std::string> splitIntoChunks(const std::string& text)
{
    static const auto gear = makeGearTable();
    const std::size_t averageLength = getAverageChunkBytes(text.size());
    const std::size_t minLength = averageLength / 4;
    const std::size_t maxLength = averageLength * 8;
    std::vector<std::string> chunks;
    std::size_t begin = 0;
    std::uint64_t rolling = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        rolling = (rolling << 1) + gear[static_cast<unsigned char>(text[i])];
        const std::size_t length = i + 1 - begin;
        const bool isBoundary = (rolling >> 32) % averageLength == 0;
        if ((isBoundary && length >= minLength) || length >= maxLength) {
            chunks.push_back(text.substr(begin, length));
            begin = i + 1;
        }
    }
    if (begin < text.size())
        chunks.push_back(text.substr(begin));
    return chunks;
}

std::vector<std::uint64_t> hashChunks(const std::string& text)
{
    std::vector<std::uint64_t> hashes;
    std::unordered_set<std::uint64_t> seen;
    for (const auto& chunk : splitIntoChunks(text)) {
        const auto hash = hashChunk(chunk);
        if (seen.insert(hash).second)
            hashes.push_back(hash);
    }
    return hashes;
}

std::vector<delta_step> makeDelta(const std::string& text, const std::vector<std::uint64_t>& receiverChunks)
{
    const std::unordered_set<std::uint64_t> known(receiverChunks.begin(), receiverChunks.end());
    std::vector<delta_step> steps;
    for (auto& chunk : splitIntoChunks(text)) {
        const auto hash = hashChunk(chunk);
        if (known.count(hash) != 0)
            steps.push_back({ {}, hash });
        else if (!steps.empty() && steps.back().chunkHash == 0)
            steps.back().literal += chunk;
        else
            steps.push_back({ std::move(chunk), 0 });
    }
    return steps;
}

std::optional<std::string> applyDelta(
    const std::string& base, const std::vector<delta_step>& steps, std::size_t maxBytes)
{
    std::unordered_map<std::uint64_t, std::string> chunks;
    for (auto& chunk : splitIntoChunks(base)) {
        const auto hash = hashChunk(chunk);
        chunks.emplace(hash, std::move(chunk));
    }
    std::string text;
    for (const auto& step : steps) {
        const auto found = chunks.find(step.chunkHash);
        if (step.chunkHash != 0 && found == chunks.end())
            return fail(
                error_kind::BadPeerMessage, "delta refers to a chunk that is not in the base document");
        const auto& piece = step.chunkHash == 0 ? step.literal : found->second;
        if (text.size() + piece.size() > maxBytes)
            return fail(error_kind::BadPeerMessage, "delta expands to a document above the size limit");
        text += piece;
    }
    return text;
}

} // namespace fuchsiagauge
