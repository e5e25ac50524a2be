#include "LibGateway/work_request.h"

#include <algorithm>

namespace spindle {

static constexpr std::int64_t MaxPromptTokens = 10'000'000;
static constexpr std::int64_t MaxOutputTokens = 100'000;

void boundTokens(work_request &Request) {
  placement_query &Query = Request.Query;
  Query.PromptTokens =
      std::clamp<std::int64_t>(Query.PromptTokens, 0, MaxPromptTokens);
  Query.OutputTokens =
      std::clamp<std::int64_t>(Query.OutputTokens, 0, MaxOutputTokens);
  Query.HighOutputTokens =
      std::clamp(Query.HighOutputTokens, Query.OutputTokens, MaxOutputTokens);
  // Parts do not hold more than the prompt.
  std::int64_t Remaining = Query.PromptTokens;
  for (prompt_part &Part : Request.Description.Prompt) {
    Part.Tokens = std::clamp<std::int64_t>(Part.Tokens, 0, Remaining);
    Remaining -= Part.Tokens;
  }
}

} // namespace spindle
