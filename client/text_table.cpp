#include "client/text_table.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    struct column_layout {
        std::size_t width = 0;
        bool isNumeric = true;
    };

    bool isNumber(const std::string& text)
    {
        return !text.empty() && text.find_first_not_of("0123456789.,/%-") == std::string::npos;
    }

    std::vector<column_layout> measureColumns(const std::vector<text_row>& rows)
    {
        std::vector<column_layout> columns(rows.empty() ? 0 : rows.front().size());
        for (std::size_t row = 0; row < rows.size(); ++row) {
            for (std::size_t i = 0; i < columns.size(); ++i) {
                columns[i].width = std::max(columns[i].width, rows[row][i].size());
                columns[i].isNumeric &= row == 0 || isNumber(rows[row][i]);
            }
        }
        return columns;
    }

} // namespace

std::string formatTextTable(const std::vector<text_row>& rows)
{
    const auto columns = measureColumns(rows);
    std::string out;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < columns.size(); ++i) {
            const std::string padding(columns[i].width - row[i].size(), ' ');
            line += i == 0 ? "" : "  ";
            line += columns[i].isNumeric ? padding + row[i] : row[i] + padding;
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + '\n';
    }
    return out;
}

} // namespace fuchsiagauge
