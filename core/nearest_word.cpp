#include "core/nearest_word.h"

#include <algorithm>
#include <numeric>

namespace fuchsiagauge {
namespace {

    // Longer words get no suggestion; this bounds the cost of the edit distance.
    constexpr std::size_t maxWordBytes = 64;

    /// Computes the Levenshtein distance: the number of single-character insertions, deletions and
    /// substitutions.
    std::size_t computeEditDistance(const std::string& a, const std::string& b)
    {
        std::vector<std::size_t> distances(b.size() + 1);
        std::iota(distances.begin(), distances.end(), 0);
        for (std::size_t i = 1; i <= a.size(); ++i) {
            std::size_t diagonal = distances[0];
            distances[0] = i;
            for (std::size_t j = 1; j <= b.size(); ++j) {
                const auto substitutionCost = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
                diagonal = distances[j];
                distances[j] = std::min({ substitutionCost, distances[j] + 1, distances[j - 1] + 1 });
            }
        }
        return distances.back();
    }

    /// @return whether the last segment of a dotted candidate equals the word.
    bool isLastPathSegment(const std::string& word, const std::string& candidate)
    {
        const auto dot = candidate.rfind('.');
        return dot != std::string::npos && candidate.compare(dot + 1, std::string::npos, word) == 0;
    }

} // namespace

std::string findNearestWord(const std::string& word, const std::vector<std::string>& candidates)
{
    if (word.size() > maxWordBytes)
        return {};
    std::string nearest;
    // Accepts at most 2 edits in a short word and a third of the characters in a long one.
    auto nearestDistance = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const auto& candidate : candidates) {
        // A key written without its section counts as a near match.
        const auto distance = isLastPathSegment(word, candidate) ? 1 : computeEditDistance(word, candidate);
        if (distance < nearestDistance) {
            nearest = candidate;
            nearestDistance = distance;
        }
    }
    return nearest;
}

std::string suggestWord(const std::string& word, const std::vector<std::string>& candidates)
{
    const auto nearest = findNearestWord(word, candidates);
    return nearest.empty() ? std::string() : "; did you mean `" + nearest + "`?";
}

} // namespace fuchsiagauge
