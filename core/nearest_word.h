#pragma once

#include <string>
#include <vector>

namespace fuchsiagauge {

/// Finds the most similar valid word for a misspelt one.
/// @param word the word as written.
/// @param candidates the valid words.
/// @return the candidate with the smallest edit distance, or an empty string if none is similar.
std::string findNearestWord(const std::string& word, const std::vector<std::string>& candidates);

/// Formats a suggestion to append to an error message.
/// @return "; did you mean `CANDIDATE`?" for the nearest candidate, or an empty string if none is similar.
std::string suggestWord(const std::string& word, const std::vector<std::string>& candidates);

} // namespace fuchsiagauge
