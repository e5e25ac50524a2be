#include "LibLoad/rate_oracle.h"

#include "LibCore/result_code.h"

#include <algorithm>

namespace spindle {

namespace {

/// A change of a customer's bucket, or a refusal to judge.
struct bucket_event {
  nanoseconds At;
  std::uint32_t Customer;
  /// Added to the level; negative for a reservation.
  double Tokens = 0;
  /// Set for a refusal.
  const load_record *Refusal = nullptr;
};

struct bucket {
  double Level = 0;
  nanoseconds At{0};
};

} // namespace

static std::vector<bucket_event>
listEvents(std::span<const load_record> Records) {
  std::vector<bucket_event> Events;
  for (const load_record &Record : Records) {
    if (Record.Request.Kind == load_kind::Crashing)
      continue;
    const std::uint32_t Customer = Record.Request.Customer;
    if (Record.Outcome == load_outcome::Refused) {
      Events.push_back({Record.SentAt, Customer, 0, &Record});
      continue;
    }
    Events.push_back(
        {Record.SentAt, Customer, -Record.ReservedTokens, nullptr});
    Events.push_back({Record.EndedAt, Customer,
                      Record.ReservedTokens - Record.UsedTokens, nullptr});
  }
  std::stable_sort(Events.begin(), Events.end(),
                   [](const bucket_event &Left, const bucket_event &Right) {
                     return Left.At < Right.At;
                   });
  return Events;
}

static void refill(bucket &Bucket, const load_customer &Customer,
                   nanoseconds Now) {
  const std::chrono::duration<double> Passed = Now - Bucket.At;
  Bucket.At = Now;
  Bucket.Level =
      std::min(Customer.BurstTokens,
               Bucket.Level + Customer.RatePerSecond * Passed.count());
}

static bool isRateRefusal(int Code) {
  return Code == static_cast<int>(result_code::RateExceeded) ||
         Code == static_cast<int>(result_code::ShareUnavailable);
}

static void judge(oracle_verdict &Verdict, const bucket &Bucket,
                  const load_record &Refusal) {
  ++Verdict.Refused;
  if (Bucket.Level < Refusal.ReservedTokens)
    return;
  ++Verdict.Wrongful;
  if (isRateRefusal(Refusal.Code))
    ++Verdict.WrongfulByRate;
}

std::vector<oracle_verdict>
judgeRefusals(std::span<const load_customer> Customers,
              std::span<const load_record> Records) {
  std::vector<oracle_verdict> Verdicts(Customers.size());
  std::vector<bucket> Buckets;
  for (const load_customer &Customer : Customers)
    Buckets.push_back({Customer.BurstTokens, nanoseconds(0)});
  for (const bucket_event &Event : listEvents(Records)) {
    const load_customer &Customer = Customers[Event.Customer];
    bucket &Bucket = Buckets[Event.Customer];
    refill(Bucket, Customer, Event.At);
    oracle_verdict &Verdict = Verdicts[Event.Customer];
    if (Event.Refusal != nullptr) {
      judge(Verdict, Bucket, *Event.Refusal);
      continue;
    }
    Bucket.Level = std::min(Customer.BurstTokens, Bucket.Level + Event.Tokens);
    Verdict.GreatestExcess = std::max(Verdict.GreatestExcess, -Bucket.Level);
  }
  return Verdicts;
}

} // namespace spindle
