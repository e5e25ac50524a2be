#ifndef PARSLEYSPINDLE_TESTS_ENDTOEND_OCCUPIED_PORT_H
#define PARSLEYSPINDLE_TESTS_ENDTOEND_OCCUPIED_PORT_H

#include <cstdint>
#include <string>

namespace spindle {

/// A port of the loopback address that another program listens at for as long
/// as the object exists.
class occupied_port {
public:
  /// Listens at \p Port, or at one that the kernel chooses if that is 0.
  /// \throws std::runtime_error if the port is in use.
  explicit occupied_port(std::uint16_t Port = 0);
  ~occupied_port();
  occupied_port(const occupied_port &) = delete;
  occupied_port &operator=(const occupied_port &) = delete;

  /// "ADDRESS:PORT".
  const std::string &address() const { return Address; }

private:
  int Socket = -1;
  std::string Address;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_ENDTOEND_OCCUPIED_PORT_H
