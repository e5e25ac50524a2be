#include "LibOrders/order_record.h"

#include "LibCore/bounded_json.h"
#include "LibCore/digest.h"
#include "LibCore/result_code.h"
#include "LibCore/utf8.h"
#include "LibHTTP/status_code.h"

#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

static constexpr std::array<std::pair<order_state, std::string_view>, 4>
    StateNames{{{order_state::Claimed, "claimed"},
                {order_state::Done, "done"},
                {order_state::Released, "released"},
                {order_state::Unknown, "unknown"}}};

static std::string_view nameOf(order_state State) {
  for (const auto &[Known, Name] : StateNames)
    if (Known == State)
      return Name;
  return "unknown";
}

static order_state parseState(std::string_view Text) {
  for (const auto &[State, Name] : StateNames)
    if (Name == Text)
      return State;
  throw spindle_error(result_code::Internal,
                      "unknown order state: " + std::string(Text));
}

std::string orderObjectName(customer_id Customer, std::string_view Route,
                            std::string_view OrderKey) {
  std::string Text = std::to_string(Customer.Value);
  Text.append("\n").append(Route).append("\n").append(OrderKey);
  return sha256Hex(Text);
}

static std::string toHex(std::string_view Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  Hex.reserve(Bytes.size() * 2);
  for (const char Byte : Bytes) {
    const unsigned Value = static_cast<unsigned char>(Byte);
    Hex.push_back(Digits[Value >> 4U]);
    Hex.push_back(Digits[Value & 0xFU]);
  }
  return Hex;
}

static std::string fromHex(std::string_view Hex) {
  std::string Bytes;
  for (std::size_t At = 0; At + 1 < Hex.size(); At += 2) {
    unsigned Value = 0;
    std::from_chars(Hex.data() + At, Hex.data() + At + 2, Value, 16);
    Bytes.push_back(static_cast<char>(Value));
  }
  return Bytes;
}

/// Stores \p Bytes in \p Object under \p Name or, if they are not UTF-8, as
/// hexadecimal digits under the name with the suffix "Hex".
static void putBytes(json &Object, const std::string &Name,
                     const std::string &Bytes) {
  if (isValidUtf8(Bytes))
    Object[Name] = Bytes;
  else
    Object[Name + "Hex"] = toHex(Bytes);
}

static std::string getBytes(const json &Object, const std::string &Name) {
  if (Object.contains(Name))
    return Object.at(Name).get<std::string>();
  return fromHex(Object.at(Name + "Hex").get<std::string>());
}

static json responseToJson(const http_response &Response) {
  json Fields = json::array();
  for (const http_field &Field : Response.Head.Fields) {
    json Item;
    putBytes(Item, "name", Field.Name);
    putBytes(Item, "value", Field.Value);
    Fields.push_back(std::move(Item));
  }
  json Object{{"status", Response.Head.Status}, {"fields", std::move(Fields)}};
  putBytes(Object, "body", Response.Body);
  return Object;
}

/// Returns none if the status is that of no answer, which an earlier version
/// may have stored, or another writer.
static std::optional<http_response> parseResponse(const json &Object) {
  const int Status = Object.at("status").get<int>();
  if (!isFinalStatus(Status))
    return std::nullopt;
  http_response Response;
  Response.Head.Status = Status;
  for (const json &Item : Object.at("fields"))
    Response.Head.Fields.push_back(
        {getBytes(Item, "name"), getBytes(Item, "value")});
  Response.Body = getBytes(Object, "body");
  return Response;
}

std::string toJson(const order_record &Record) {
  json Object{{"nonce", Record.Nonce},
              {"bodyDigest", Record.BodyDigest},
              {"state", nameOf(Record.State)},
              {"claimedAtMs", Record.ClaimedAt.Milliseconds},
              {"inProgressUntilMs", Record.InProgressUntil.Milliseconds}};
  if (Record.ResponseStored)
    Object["answer"] = responseToJson(Record.Response);
  return Object.dump();
}

order_record parseOrderRecord(std::string_view Text) {
  try {
    const json Object = parseBoundedJson(Text);
    order_record Record;
    Record.Nonce = Object.at("nonce").get<std::string>();
    Record.BodyDigest = Object.at("bodyDigest").get<std::string>();
    Record.State = parseState(Object.at("state").get<std::string>());
    Record.ClaimedAt = {Object.at("claimedAtMs").get<std::int64_t>()};
    Record.InProgressUntil = {
        Object.at("inProgressUntilMs").get<std::int64_t>()};
    if (!Object.contains("answer"))
      return Record;
    std::optional<http_response> Response = parseResponse(Object.at("answer"));
    Record.ResponseStored = Response.has_value();
    if (Response)
      Record.Response = *std::move(Response);
    else
      Record.State = order_state::Unknown;
    return Record;
  } catch (const json::exception &Error) {
    throw spindle_error(result_code::Internal,
                        std::string("invalid order record: ") + Error.what());
  }
}

} // namespace spindle
