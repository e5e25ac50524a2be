#include "EndToEnd/temporary_folder.h"

#include <stdexcept>

#include <stdlib.h>

namespace spindle {

temporary_folder::temporary_folder() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "spindle-XXXXXX").string();
  if (!mkdtemp(Name.data()))
    throw std::runtime_error("no folder for the test's files");
  Path = Name;
}

temporary_folder::~temporary_folder() { std::filesystem::remove_all(Path); }

} // namespace spindle
