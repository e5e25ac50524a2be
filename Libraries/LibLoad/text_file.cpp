#include "LibLoad/text_file.h"

#include "LibCore/result_code.h"

#include <fstream>
#include <sstream>

namespace spindle {

std::string readTextFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw spindle_error(result_code::InvalidSettings, "cannot read " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

void writeTextFile(const std::string &Path, const std::string &Text) {
  std::ofstream File(Path);
  File << Text;
  if (!File)
    throw spindle_error(result_code::Internal, "cannot write " + Path);
}

} // namespace spindle
