#ifndef PARSLEYSPINDLE_TESTS_ENDTOEND_TEMPORARY_FOLDER_H
#define PARSLEYSPINDLE_TESTS_ENDTOEND_TEMPORARY_FOLDER_H

#include <filesystem>

namespace spindle {

/// A new folder for a test's files, removed with the object.
class temporary_folder {
public:
  temporary_folder();
  ~temporary_folder();
  temporary_folder(const temporary_folder &) = delete;
  temporary_folder &operator=(const temporary_folder &) = delete;

  const std::filesystem::path &path() const { return Path; }

private:
  std::filesystem::path Path;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_ENDTOEND_TEMPORARY_FOLDER_H
