#include "LibGateway/engine_order_port.h"

namespace spindle {

std::string_view toText(order_outcome Outcome) {
  switch (Outcome) {
  case order_outcome::Started:
    return "started";
  case order_outcome::Done:
    return "done";
  case order_outcome::OrderCountMismatch:
    return "count differs";
  case order_outcome::Fenced:
    return "fenced";
  case order_outcome::WrongUpstream:
    return "other upstream";
  case order_outcome::Refused:
    return "refused";
  case order_outcome::Unknown:
    return "no answer";
  }
  return "";
}

} // namespace spindle
