#include "spindlectl/text_table.h"

#include <algorithm>

namespace spindle {

static std::string writeRow(const std::vector<std::string> &Cells,
                            const std::vector<std::size_t> &Widths) {
  std::string Line;
  for (std::size_t Column = 0; Column < Cells.size(); ++Column) {
    Line += Cells[Column];
    if (Column + 1 < Cells.size())
      Line += std::string(Widths[Column] - Cells[Column].size() + 2, ' ');
  }
  return Line + "\n";
}

std::string writeTable(const text_table &Table) {
  std::vector<std::size_t> Widths;
  for (std::size_t Column = 0; Column < Table.Header.size(); ++Column) {
    std::size_t Width = Table.Header[Column].size();
    for (const std::vector<std::string> &Row : Table.Rows)
      Width = std::max(Width, Row[Column].size());
    Widths.push_back(Width);
  }
  std::string Text = writeRow(Table.Header, Widths);
  for (const std::vector<std::string> &Row : Table.Rows)
    Text += writeRow(Row, Widths);
  return Text;
}

} // namespace spindle
