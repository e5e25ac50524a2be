#include "LibCore/utf8.h"

#include <catch2/catch.hpp>

using namespace spindle;

TEST_CASE("text that no JSON string can hold counts as UTF-8") {
  for (const std::string_view Text :
       {"", "plain", "gl\xc3\xbchwein", "\xe2\x82\xac", "\xf0\x9f\x98\x80"})
    CHECK(isValidUtf8(Text));
  for (const std::string_view Text :
       {"gl\xfchwein", "\x80", "\xc3", "\xc0\xaf", "\xed\xa0\x80",
        "\xe0\x80\x80", "\xf4\x90\x80\x80", "\xff\xfe", "\xe2\x82"})
    CHECK_FALSE(isValidUtf8(Text));
}
