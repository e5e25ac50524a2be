#ifndef PARSLEYSPINDLE_LIBCORE_LISTEN_ERROR_H
#define PARSLEYSPINDLE_LIBCORE_LISTEN_ERROR_H

#include "LibCore/endpoint.h"
#include "LibCore/result_code.h"

namespace spindle {

/// An address can't be listened at, at least not now: another process may use
/// it, or the machine may not have it yet.
class listen_error : public spindle_error {
public:
  listen_error(const endpoint &Address, const std::string &Reason)
      : spindle_error(result_code::Internal,
                      "can't listen at " + toText(Address) + ": " + Reason),
        Address(Address) {}

  const endpoint &address() const { return Address; }

private:
  endpoint Address;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCORE_LISTEN_ERROR_H
