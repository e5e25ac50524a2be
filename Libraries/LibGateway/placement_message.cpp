#include "LibGateway/placement_message.h"

#include <algorithm>

namespace spindle {

// The bound of the times that a peer may state; no request lasts this long.
static constexpr milliseconds MaxStatedTime{600'000};

static std::int64_t toMilliseconds(nanoseconds Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

void writeWork(const hold_work &Work, host_link::RequestWork &Message) {
  Message.set_service(std::string(Work.Service));
  Message.set_prompt_tokens(Work.Query.PromptTokens);
  Message.set_output_tokens(Work.Query.OutputTokens);
  Message.set_high_output_tokens(Work.Query.HighOutputTokens);
  Message.set_gap_ms(toMilliseconds(Work.Query.GapObjective));
  Message.set_objective_ms(toMilliseconds(Work.Query.Objective));
  for (const prompt_part &Part : Work.Description->Prompt) {
    host_link::PromptPart &Written = *Message.add_parts();
    Written.set_id(Part.Id);
    Written.set_tokens(Part.Tokens);
  }
  for (const upstream_id Engine : Work.Avoid)
    Message.add_avoid(Engine.Value);
}

time_point readTime(std::int64_t Milliseconds, time_point Now) {
  return Now +
         std::clamp(milliseconds(Milliseconds), -MaxStatedTime, MaxStatedTime);
}

static milliseconds readObjective(std::int64_t Milliseconds) {
  return std::clamp(milliseconds(Milliseconds), milliseconds(0), MaxStatedTime);
}

work_request readWork(const host_link::HoldAdapterRequest &Message,
                      time_point Now) {
  const host_link::RequestWork &Work = Message.work();
  work_request Request;
  Request.Service = Work.service();
  Request.Description.Model = Message.model();
  Request.Description.Adapter = Message.adapter();
  for (const host_link::PromptPart &Part : Work.parts())
    Request.Description.Prompt.push_back({Part.id(), Part.tokens()});
  Request.AdapterVersion = Message.version();
  Request.Query.PromptTokens = Work.prompt_tokens();
  Request.Query.OutputTokens = Work.output_tokens();
  Request.Query.HighOutputTokens = Work.high_output_tokens();
  Request.Query.GapObjective = readObjective(Work.gap_ms());
  Request.Query.Objective = readObjective(Work.objective_ms());
  for (const std::uint64_t Engine : Work.avoid())
    Request.Avoid.push_back(upstream_id{Engine});
  Request.Slot.OnTimeUntil = readTime(Message.on_time_ms(), Now);
  Request.Slot.UsefulUntil = readTime(Message.useful_ms(), Now);
  Request.Slot.Urgency = Message.urgency();
  Request.Slot.Customer = customer_id{Message.customer()};
  boundTokens(Request);
  Request.Description.PromptTokens = Request.Query.PromptTokens;
  return Request;
}

} // namespace spindle
