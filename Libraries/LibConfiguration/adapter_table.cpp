#include "LibConfiguration/adapter_table.h"

#include <algorithm>
#include <stdexcept>
#include <unordered_map>

namespace spindle {

namespace {

/// Assigns a number to each distinct string.
class string_interner {
public:
  explicit string_interner(std::vector<std::string> &Strings)
      : Strings(Strings) {}

  std::uint32_t number(const std::string &String) {
    const auto [Entry, IsNew] =
        Numbers.emplace(String, static_cast<std::uint32_t>(Strings.size()));
    if (IsNew)
      Strings.push_back(String);
    return Entry->second;
  }

private:
  std::vector<std::string> &Strings;
  std::unordered_map<std::string, std::uint32_t> Numbers;
};

/// Appends each distinct name to one buffer. The names must outlive the
/// interner.
class name_interner {
public:
  explicit name_interner(std::string &Buffer) : Buffer(Buffer) {}

  std::uint32_t offset(const std::string &Name) {
    const auto [Entry, IsNew] =
        Offsets.emplace(Name, static_cast<std::uint32_t>(Buffer.size()));
    if (IsNew)
      Buffer += Name;
    return Entry->second;
  }

private:
  std::string &Buffer;
  std::unordered_map<std::string_view, std::uint32_t> Offsets;
};

} // namespace

static std::vector<std::pair<std::uint64_t, const adapter_declaration *>>
sortById(const std::vector<adapter_declaration> &Adapters) {
  std::vector<std::pair<std::uint64_t, const adapter_declaration *>> Sorted;
  Sorted.reserve(Adapters.size());
  for (const adapter_declaration &Adapter : Adapters)
    Sorted.emplace_back(hashName(Adapter.Name + "@" + Adapter.Version),
                        &Adapter);
  std::sort(Sorted.begin(), Sorted.end());
  return Sorted;
}

adapter_table::adapter_table(const std::vector<adapter_declaration> &Adapters) {
  string_interner StringNumbers(Strings);
  string_interner CustomerNumbers(Customers);
  name_interner NameOffsets(Names);
  CustomerNumbers.number("");
  Ids.reserve(Adapters.size());
  Rows.reserve(Adapters.size());
  for (const auto &[Id, Adapter] : sortById(Adapters)) {
    if (Adapter->IsDefault)
      Defaults.push_back(
          {hashName(Adapter->Name), static_cast<std::uint32_t>(Rows.size())});
    const std::uint32_t Customer = CustomerNumbers.number(Adapter->Customer);
    if (Customer > std::numeric_limits<std::uint16_t>::max())
      throw std::length_error("more customers with adapters than 65,535");
    Ids.push_back(Id);
    Rows.push_back({NameOffsets.offset(Adapter->Name),
                    static_cast<std::uint16_t>(Adapter->Name.size()),
                    static_cast<std::uint16_t>(Customer),
                    StringNumbers.number(Adapter->Version),
                    StringNumbers.number(Adapter->Model)});
  }
  std::sort(Defaults.begin(), Defaults.end(),
            [](const default_row &A, const default_row &B) {
              return A.NameHash < B.NameHash;
            });
  Defaults.shrink_to_fit();
  Names.shrink_to_fit();
}

adapter_view adapter_table::view(std::size_t Index) const {
  const row &Row = Rows[Index];
  const std::string_view Name =
      std::string_view(Names).substr(Row.NameOffset, Row.NameLength);
  const customer_id Customer =
      Row.Customer == 0 ? customer_id{}
                        : customer_id::ofName(Customers[Row.Customer]);
  return {adapter_id{Ids[Index]}, Name, Strings[Row.Version],
          Strings[Row.Model], Customer};
}

std::optional<adapter_view> adapter_table::find(adapter_id Id) const {
  const auto Found = std::lower_bound(Ids.begin(), Ids.end(), Id.Value);
  if (Found == Ids.end() || *Found != Id.Value)
    return std::nullopt;
  return view(static_cast<std::size_t>(Found - Ids.begin()));
}

std::optional<adapter_view>
adapter_table::findDefault(std::string_view Name) const {
  const std::uint64_t Hash = hashName(Name);
  auto Found = std::lower_bound(Defaults.begin(), Defaults.end(), Hash,
                                [](const default_row &Row, std::uint64_t Key) {
                                  return Row.NameHash < Key;
                                });
  for (; Found != Defaults.end() && Found->NameHash == Hash; ++Found)
    if (view(Found->Row).Name == Name)
      return view(Found->Row);
  return std::nullopt;
}

void adapter_table::visit(
    const std::function<void(const adapter_view &)> &Visit) const {
  for (std::size_t Index = 0; Index < Rows.size(); ++Index)
    Visit(view(Index));
}

static std::size_t bytesOf(const std::vector<std::string> &Texts) {
  std::size_t Bytes = Texts.capacity() * sizeof(std::string);
  for (const std::string &Text : Texts)
    Bytes += Text.capacity();
  return Bytes;
}

std::size_t adapter_table::bytes() const {
  return Ids.capacity() * sizeof(std::uint64_t) +
         Rows.capacity() * sizeof(row) +
         Defaults.capacity() * sizeof(default_row) + Names.capacity() +
         bytesOf(Strings) + bytesOf(Customers);
}

} // namespace spindle
