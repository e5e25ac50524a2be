#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_ADAPTER_TABLE_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_ADAPTER_TABLE_H

#include "LibConfiguration/configuration_snapshot.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// Every declared adapter version in flat arrays, sorted by id. Each distinct
/// name, version, model and customer is stored once. Immutable, thread-safe.
class adapter_table {
public:
  explicit adapter_table(const std::vector<adapter_declaration> &Adapters);

  std::optional<adapter_view> find(adapter_id Id) const;
  /// Finds the default version of a name without "@version".
  std::optional<adapter_view> findDefault(std::string_view Name) const;
  /// Calls \p Visit with every adapter, ordered by id.
  void visit(const std::function<void(const adapter_view &)> &Visit) const;
  std::size_t size() const { return Ids.size(); }
  std::size_t bytes() const;

private:
  struct row {
    std::uint32_t NameOffset;
    std::uint16_t NameLength;
    std::uint16_t Customer;
    std::uint32_t Version;
    std::uint32_t Model;
  };
  struct default_row {
    std::uint64_t NameHash;
    std::uint32_t Row;
  };

  adapter_view view(std::size_t Row) const;

  std::vector<std::uint64_t> Ids;
  std::vector<row> Rows;
  std::vector<default_row> Defaults;
  std::string Names;
  std::vector<std::string> Strings;
  /// The names of the customers; the first is empty and means every customer.
  std::vector<std::string> Customers;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_ADAPTER_TABLE_H
