#ifndef PARSLEYSPINDLE_SPINDLECTL_TEXT_TABLE_H
#define PARSLEYSPINDLE_SPINDLECTL_TEXT_TABLE_H

#include <string>
#include <vector>

namespace spindle {

/// A table for the terminal.
struct text_table {
  std::vector<std::string> Header;
  std::vector<std::vector<std::string>> Rows;
};

/// Writes the table with aligned columns, a line each.
std::string writeTable(const text_table &Table);

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLECTL_TEXT_TABLE_H
