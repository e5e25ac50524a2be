#include "LibHTTP/http_message.h"

#include <algorithm>
#include <cctype>

namespace spindle {

static char lower(char Character) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(Character)));
}

bool sameFieldName(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) { return lower(A) == lower(B); });
}

std::string_view findField(const http_fields &Fields, std::string_view Name) {
  for (const http_field &Field : Fields)
    if (sameFieldName(Field.Name, Name))
      return Field.Value;
  return {};
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

static int hexValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  const char Lower = lower(Digit);
  if (Lower >= 'a' && Lower <= 'f')
    return Lower - 'a' + 10;
  return -1;
}

static std::string decode(std::string_view Text) {
  std::string Result;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] == '+') {
      Result.push_back(' ');
      continue;
    }
    if (Text[Index] == '%' && Index + 2 < Text.size()) {
      const int High = hexValue(Text[Index + 1]);
      const int Low = hexValue(Text[Index + 2]);
      if (High >= 0 && Low >= 0) {
        Result.push_back(static_cast<char>(High * 16 + Low));
        Index += 2;
        continue;
      }
    }
    Result.push_back(Text[Index]);
  }
  return Result;
}

std::string queryParameter(std::string_view Target, std::string_view Name) {
  const std::size_t Mark = Target.find('?');
  if (Mark == std::string_view::npos)
    return {};
  std::string_view Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const std::size_t End = Rest.find('&');
    const std::string_view Pair = Rest.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    if (decode(Pair.substr(0, Equals)) == Name)
      return Equals == std::string_view::npos ? std::string()
                                              : decode(Pair.substr(Equals + 1));
    if (End == std::string_view::npos)
      break;
    Rest = Rest.substr(End + 1);
  }
  return {};
}

} // namespace spindle
