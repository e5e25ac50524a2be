#include "LibCore/bounded_json.h"
#include "LibCore/json_split.h"

#include <catch2/catch.hpp>

using namespace spindle;

TEST_CASE("an element that can't be parsed spoils the others of a list") {
  const std::optional<std::vector<std::string_view>> Elements =
      splitJsonArray(" [1e400, \"a]\\\",\xff\" , {\"b\":[{}]},[ ], nul ]\n");
  REQUIRE(Elements);
  REQUIRE(*Elements == std::vector<std::string_view>{"1e400", "\"a]\\\",\xff\"",
                                                     "{\"b\":[{}]}", "[ ]",
                                                     "nul"});
  REQUIRE(splitJsonArray("[]")->empty());
}

TEST_CASE("a member that can't be parsed spoils the others of an object") {
  const std::optional<std::vector<json_member>> Members =
      splitJsonObject(R"({"a":1, "b" : "}\\" ,"c":{"a":7},"a":2})");
  REQUIRE(Members);
  REQUIRE(Members->size() == 4);
  REQUIRE(findMember(*Members, "a") == "2");
  REQUIRE(findMember(*Members, "b") == R"("}\\")");
  REQUIRE(findMember(*Members, "c") == R"({"a":7})");
  REQUIRE(findMember(*Members, "d").empty());
  REQUIRE(splitJsonObject(" { } ")->empty());
}

TEST_CASE("text that is cut or no structure is split all the same") {
  for (const std::string_view Text :
       {"", " ", "[", "[1", "[1,", "[1,]", "[\"a]", "[\"a\\", "[[1]", "[1]]",
        "{\"a\":1}", "7"})
    CHECK_FALSE(splitJsonArray(Text));
  for (const std::string_view Text :
       {"", "{", "{\"a\"", "{\"a\":", "{\"a\":}", "{a:1}", "{\"a\":1",
        "{\"a\":1,}", "{\"a\":1}}", "[]", "{\"a\" 1}"})
    CHECK_FALSE(splitJsonObject(Text));
}

TEST_CASE("a deep value passes the bound on levels") {
  REQUIRE_FALSE(findBeyondLevels("[[1],[2]]", 2));
  REQUIRE(findBeyondLevels("[[1],[[2]]]", 2) == std::size_t{6});
  REQUIRE_FALSE(findBeyondLevels(R"(["[[[\"[[["])", 1));
  const std::string Allowed =
      std::string(MaxJsonLevels, '[') + "7" + std::string(MaxJsonLevels, ']');
  REQUIRE(parseBoundedJson(Allowed).is_array());
  REQUIRE_THROWS_AS(parseBoundedJson("[" + Allowed + "]"), json_too_deep);
  REQUIRE(tryParseBoundedJson("[" + Allowed + "]").is_discarded());
  REQUIRE_THROWS_AS(parseBoundedJson(std::string(1U << 20U, '[')),
                    nlohmann::json::exception);
}
