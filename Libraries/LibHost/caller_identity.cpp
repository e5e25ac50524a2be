#include "LibHost/caller_identity.h"

#include "LibConfiguration/key_decision.h"
#include "LibCore/digest.h"
#include "LibCore/result_code.h"

#include <algorithm>
#include <array>

namespace spindle {

// Header fields and query parameters that commonly carry credentials.
static constexpr std::array<std::string_view, 8> CredentialFields = {
    "Authorization", "Proxy-Authorization", "Cookie",     "X-Api-Key",
    "Api-Key",       "X-Auth-Token",        "X-Auth-Key", "X-Access-Token"};
static constexpr std::array<std::string_view, 6> CredentialParameters = {
    "key", "api_key", "apikey", "api-key", "access_token", "token"};
// Shorter keys could match unrelated text; keys issued by the tools are far
// longer.
static constexpr std::size_t MinSearchedKeyBytes = 8;

std::string_view presentedKey(const http_request_head &Request) {
  static constexpr std::string_view Scheme = "Bearer ";
  const std::string_view Value = findField(Request.Fields, "Authorization");
  if (Value.size() <= Scheme.size() ||
      !sameFieldName(Value.substr(0, Scheme.size()), Scheme))
    return {};
  std::string_view Key = Value.substr(Scheme.size());
  while (!Key.empty() && Key.front() == ' ')
    Key.remove_prefix(1);
  return Key;
}

caller_identity identifyCaller(const http_request_head &Request,
                               const configuration_snapshot &Snapshot,
                               time_point Now, time_point LastConfirmed) {
  const std::string_view Key = presentedKey(Request);
  if (Key.empty())
    throw spindle_error(result_code::KeyMissing,
                        "the request has no \"Authorization: Bearer\" key");
  caller_identity Caller;
  Caller.Key = std::string(Key);
  Caller.Digest = sha256Hex(Key);
  const key_decision Decision =
      decideKey(Snapshot, Caller.Digest, Now, LastConfirmed);
  if (Decision.Verdict == key_verdict::Unknown)
    throw spindle_error(result_code::KeyUnknown, "the key is not granted");
  if (Decision.Verdict == key_verdict::NotConfirmed)
    throw spindle_error(
        result_code::KeyNotConfirmed,
        "this host cannot currently confirm that the key is still granted");
  Caller.Customer = Decision.Customer;
  return Caller;
}

static bool containsKey(std::string_view Text, std::string_view Key) {
  return Key.size() >= MinSearchedKeyBytes &&
         Text.find(Key) != std::string_view::npos;
}

template <std::size_t count>
static bool isCredentialName(const std::array<std::string_view, count> &Names,
                             std::string_view Name) {
  return std::any_of(
      Names.begin(), Names.end(),
      [Name](std::string_view Known) { return sameFieldName(Known, Name); });
}

http_fields fieldsForUpstream(const http_fields &Fields, std::string_view Key) {
  http_fields Result;
  for (const http_field &Field : Fields) {
    if (isCredentialName(CredentialFields, Field.Name))
      continue;
    // The HTTP client sets Host for the upstream and handles "100 Continue"
    // itself.
    if (sameFieldName(Field.Name, "Host") ||
        sameFieldName(Field.Name, "Expect"))
      continue;
    if (containsKey(Field.Value, Key) || containsKey(Field.Name, Key))
      continue;
    Result.push_back(Field);
  }
  return Result;
}

/// Decodes percent escapes and "+", so that an encoded key is also found.
static std::string percentDecode(std::string_view Text) {
  const std::string Query = "?x=" + std::string(Text);
  return queryParameter(Query, "x");
}

static std::string queryWithoutCredentials(std::string_view Query) {
  std::string Result;
  while (!Query.empty()) {
    const std::size_t End = std::min(Query.find('&'), Query.size());
    const std::string_view Pair = Query.substr(0, End);
    Query.remove_prefix(std::min(End + 1, Query.size()));
    const std::string Name = percentDecode(Pair.substr(0, Pair.find('=')));
    if (isCredentialName(CredentialParameters, Name))
      continue;
    Result += Result.empty() ? "?" : "&";
    Result += Pair;
  }
  return Result;
}

std::string targetForUpstream(std::string_view Target, std::string_view Key) {
  std::string Result(pathOf(Target));
  if (Result.size() < Target.size())
    Result += queryWithoutCredentials(Target.substr(Result.size() + 1));
  std::string Decoded;
  std::string_view Rest = Result;
  while (!Rest.empty()) {
    const std::size_t End = std::min(Rest.find('&'), Rest.size());
    Decoded += percentDecode(Rest.substr(0, End));
    Decoded += ' ';
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  if (containsKey(Result, Key) || containsKey(Decoded, Key))
    throw spindle_error(result_code::BadRequest,
                        "the request's target contains its key");
  return Result;
}

void rejectKeyInBody(std::string_view Body, std::string_view Key) {
  if (containsKey(Body, Key))
    throw spindle_error(result_code::BadRequest,
                        "the request's body contains its key");
}

} // namespace spindle
