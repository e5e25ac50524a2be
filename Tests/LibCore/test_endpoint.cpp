#include "LibCore/endpoint.h"
#include "LibCore/result_code.h"

#include <catch2/catch.hpp>

using namespace spindle;

TEST_CASE("endpoints are IP numbers with a port") {
  REQUIRE(parseEndpoint("127.0.0.1:80") == endpoint{"127.0.0.1", 80});
  REQUIRE(parseEndpoint("[::1]:8080") == endpoint{"::1", 8080});
  REQUIRE(toText(endpoint{"::1", 8080}) == "[::1]:8080");
}

TEST_CASE("an endpoint that is not an IP number and port is refused by name") {
  for (const char *Text : {"localhost:80", "127.0.0.1", "127.0.0.1:",
                           "127.0.0.1:65536", "127.0.0.1:8o", ":80"}) {
    INFO(Text);
    REQUIRE_THROWS_WITH(parseEndpoint(Text), Catch::Contains(Text));
  }
}
