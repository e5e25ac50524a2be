#include "LibHTTP/error_response.h"

#include "LibCore/result_code.h"
#include "LibCore/retry_after_error.h"
#include "LibHTTP/http_server.h"

#include <nlohmann/json.hpp>

namespace spindle {

static http_response makeResponse(result_code Code, run_state State,
                                  std::string_view Message) {
  const result_code_info &Info = describe(Code);
  nlohmann::ordered_json Body;
  Body["error"]["code"] = static_cast<int>(Code);
  Body["error"]["name"] = Info.Name;
  Body["error"]["state"] = toText(State);
  Body["error"]["message"] = Message;
  http_response Response;
  Response.Head.Status = Info.HttpStatus;
  Response.Head.Fields = {{"Content-Type", "application/json"}};
  Response.Body = Body.dump(-1, ' ', false,
                            nlohmann::ordered_json::error_handler_t::replace);
  return Response;
}

/// Rounds up, as an earlier repeat may be refused again.
static std::string retryAfterText(milliseconds Wait, retry_after_form Form) {
  if (Form == retry_after_form::WholeSeconds)
    return std::to_string(std::chrono::ceil<seconds>(Wait).count());
  const std::string Digits = std::to_string(Wait.count() % 1'000 + 1'000);
  return std::to_string(Wait.count() / 1'000) + "." + Digits.substr(1);
}

http_response errorResponse(const std::exception &Error,
                            retry_after_form Form) {
  const spindle_error *const Known =
      dynamic_cast<const spindle_error *>(&Error);
  if (!Known)
    return makeResponse(result_code::Internal, run_state::MaybeRun,
                        Error.what());
  http_response Response =
      makeResponse(Known->code(), Known->state(), Known->what());
  if (const retry_after_error *const Later =
          dynamic_cast<const retry_after_error *>(&Error))
    Response.Head.Fields.push_back(
        {"Retry-After", retryAfterText(Later->retryAfter(), Form)});
  return Response;
}

void writeErrorResponse(http_exchange &Exchange, const std::exception &Error) {
  const http_response Response =
      errorResponse(Error, retry_after_form::WholeSeconds);
  Exchange.respond(Response.Head, Response.Body);
}

} // namespace spindle
