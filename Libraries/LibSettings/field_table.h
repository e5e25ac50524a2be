#ifndef PARSLEYSPINDLE_LIBSETTINGS_FIELD_TABLE_H
#define PARSLEYSPINDLE_LIBSETTINGS_FIELD_TABLE_H

#include "LibCore/endpoint.h"
#include "LibCore/result_code.h"
#include "LibSettings/json_text.h"

#include <functional>
#include <limits>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace spindle {

/// Thrown by a field's reader when the value does not fit.
struct field_error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The description of a field in the reference page.
struct field_description {
  std::string Name;
  std::string Type;
  std::string Unit;
  std::string Range;
  std::string Meaning;
  bool Required = false;
};

/// The path of the value that is read, and the problems found so far.
struct field_context {
  std::string Path;
  std::vector<input_problem> &Problems;

  /// The context of a field or element within this one.
  field_context at(std::string_view Name) const {
    return {Path.empty() ? std::string(Name) : Path + "." + std::string(Name),
            Problems};
  }
  field_context at(std::size_t Index) const {
    return {Path + "[" + std::to_string(Index) + "]", Problems};
  }
  void add(std::string Message) const {
    Problems.push_back({Path, std::move(Message)});
  }
};

/// One field of a record: how it is described, read and written.
template <typename record> struct field {
  field_description Description;
  std::function<void(const nlohmann::json &, record &, const field_context &)>
      Read;
  std::function<nlohmann::json(const record &)> Write;
  /// Describes the fields within this one, with their paths.
  std::function<void(std::vector<std::pair<field_description, std::string>> &,
                     const std::string &)>
      DescribeNested;
};

template <typename record> using field_table = std::vector<field<record>>;

/// Reads an object by its table. Each problem is added to the context, and its
/// field has its default.
template <typename record>
record readRecord(const nlohmann::json &Value, const field_table<record> &Table,
                  const field_context &Context) {
  record Record{};
  if (!Value.is_object()) {
    Context.add("must be an object");
    return Record;
  }
  for (const auto &[Name, Unused] : Value.items()) {
    bool Declared = false;
    for (const field<record> &Field : Table)
      Declared = Declared || Field.Description.Name == Name;
    if (!Declared)
      Context.at(Name).add("unknown field");
  }
  for (const field<record> &Field : Table) {
    const field_context Inner = Context.at(Field.Description.Name);
    const auto Found = Value.find(Field.Description.Name);
    if (Found == Value.end()) {
      if (Field.Description.Required)
        Inner.add("missing field");
      continue;
    }
    try {
      Field.Read(*Found, Record, Inner);
    } catch (const field_error &Error) {
      Inner.add(Error.what());
    }
  }
  return Record;
}

/// Parses a JSON text with comments.
/// \throws spindle_error \p Code that names file, line and column.
nlohmann::json parseJsonText(std::string_view Text, std::string_view FileName,
                             result_code Code);

/// Reads a whole settings file, JSON with comments, by its table. \p Check
/// gets the record and the list of problems, to which it may add.
/// \throws spindle_error InvalidSettings whose message has a line for each
/// problem: "FILE:LINE:COLUMN: field: what is wrong".
template <typename record, typename check>
record readSettingsFile(std::string_view Text, std::string_view FileName,
                        const field_table<record> &Table, const check &Check) {
  const nlohmann::json Root =
      parseJsonText(Text, FileName, result_code::InvalidSettings);
  const json_places Places = findPlaces(Text);
  std::vector<input_problem> Problems = Places.Duplicates;
  record Record = readRecord(Root, Table, field_context{"", Problems});
  Check(Record, Problems);
  if (!Problems.empty())
    throw spindle_error(result_code::InvalidSettings,
                        describeProblems(Problems, FileName, Text, Places));
  return Record;
}

/// Writes the fields that differ from their defaults or are required.
template <typename record>
nlohmann::json writeRecord(const record &Record,
                           const field_table<record> &Table) {
  const record Default{};
  nlohmann::json Value = nlohmann::json::object();
  for (const field<record> &Field : Table) {
    nlohmann::json Written = Field.Write(Record);
    if (Field.Description.Required || Written != Field.Write(Default))
      Value[Field.Description.Name] = std::move(Written);
  }
  return Value;
}

/// Makes a field from a member and the functions that read and write it.
template <typename record, typename value, typename reader, typename writer>
field<record> makeField(field_description Description, value record::*Member,
                        reader Read, writer Write) {
  field<record> Field;
  Field.Description = std::move(Description);
  Field.Read = [Member, Read](const nlohmann::json &Value, record &Record,
                              const field_context &) {
    Record.*Member = Read(Value);
  };
  Field.Write = [Member, Write](const record &Record) {
    return nlohmann::json(Write(Record.*Member));
  };
  return Field;
}

/// Reads text of at least one and at most \p Limit characters.
std::string readText(const nlohmann::json &Value, std::size_t Limit = 256);
/// Reads a name that may stand in the platform's paths: letters, digits, '-',
/// '_' and '.', of which the first is a letter or digit.
std::string readName(const nlohmann::json &Value);
/// Reads a whole number within a range.
std::int64_t readInteger(const nlohmann::json &Value, std::int64_t Least,
                         std::int64_t Most);
double readNumber(const nlohmann::json &Value, double Least, double Most);
/// Reads a number within a range and rounds it down, but one above 0 to no less
/// than 1.
std::int64_t readWholeUnits(const nlohmann::json &Value, std::int64_t Least,
                            std::int64_t Most);
bool readFlag(const nlohmann::json &Value);
endpoint readEndpoint(const nlohmann::json &Value);
/// Writes "LEAST..MOST".
std::string describeRange(std::int64_t Least, std::int64_t Most);

template <typename record>
field<record> textField(std::string Name, std::string record::*Member,
                        std::string Meaning, bool Required = false) {
  return makeField<record>(
      {std::move(Name), "text", "", "1..256 characters", std::move(Meaning),
       Required},
      Member, [](const nlohmann::json &Value) { return readText(Value); },
      [](const std::string &Text) { return Text; });
}

template <typename record>
field<record> textListField(std::string Name,
                            std::vector<std::string> record::*Member,
                            std::string Meaning, bool Required = false) {
  const auto Read = [](const nlohmann::json &Value) {
    if (!Value.is_array())
      throw field_error("must be a list of texts");
    std::vector<std::string> Texts;
    for (const nlohmann::json &Element : Value)
      Texts.push_back(readText(Element));
    return Texts;
  };
  return makeField<record>(
      {std::move(Name), "list of texts", "", "", std::move(Meaning), Required},
      Member, Read,
      [](const std::vector<std::string> &Texts) { return Texts; });
}

template <typename record>
field<record> nameField(std::string Name, std::string record::*Member,
                        std::string Meaning, bool Required = true) {
  return makeField<record>(
      {std::move(Name), "name", "", "1..128 of A-Z a-z 0-9 - _ .",
       std::move(Meaning), Required},
      Member, readName, [](const std::string &Text) { return Text; });
}

template <typename record, typename integer>
field<record> integerField(std::string Name, integer record::*Member,
                           std::string Unit, std::int64_t Least,
                           std::int64_t Most, std::string Meaning,
                           bool Required = false) {
  return makeField<record>(
      {std::move(Name), "integer", std::move(Unit), describeRange(Least, Most),
       std::move(Meaning), Required},
      Member,
      [Least, Most](const nlohmann::json &Value) {
        return static_cast<integer>(readInteger(Value, Least, Most));
      },
      [](const integer &Value) { return Value; });
}

/// A number within a range.
template <typename record>
field<record> numberField(std::string Name, double record::*Member,
                          std::string Unit, double Least, double Most,
                          std::string Meaning, bool Required = false) {
  return makeField<record>(
      {std::move(Name), "number", std::move(Unit),
       std::to_string(Least) + ".." + std::to_string(Most), std::move(Meaning),
       Required},
      Member,
      [Least, Most](const nlohmann::json &Value) {
        return readNumber(Value, Least, Most);
      },
      [](double Value) { return Value; });
}

/// A duration in the unit of its type; the name ends with the unit.
template <typename record, typename duration>
field<record> durationField(std::string Name, duration record::*Member,
                            std::int64_t Least, std::int64_t Most,
                            std::string Meaning) {
  const std::string Unit =
      std::is_same_v<duration, std::chrono::seconds> ? "s" : "ms";
  return makeField<record>(
      {std::move(Name), "integer", Unit, describeRange(Least, Most),
       std::move(Meaning), false},
      Member,
      [Least, Most](const nlohmann::json &Value) {
        return duration(readInteger(Value, Least, Most));
      },
      [](const duration &Value) { return Value.count(); });
}

/// A duration whose text may have a fraction, which is cut off. A duration
/// between 0 and one unit is read as one unit, as 0 often means "none".
template <typename record, typename duration>
field<record> fractionalDurationField(std::string Name,
                                      duration record::*Member,
                                      std::int64_t Least, std::int64_t Most,
                                      std::string Meaning) {
  field<record> Field =
      durationField<record>(Name, Member, Least, Most, std::move(Meaning));
  Field.Description.Type = "number";
  Field.Read = [Member, Least, Most](const nlohmann::json &Value,
                                     record &Record, const field_context &) {
    Record.*Member = duration(readWholeUnits(Value, Least, Most));
  };
  return Field;
}

template <typename record>
field<record> flagField(std::string Name, bool record::*Member,
                        std::string Meaning) {
  return makeField<record>({std::move(Name), "boolean", "", "true, false",
                            std::move(Meaning), false},
                           Member, readFlag, [](bool Value) { return Value; });
}

template <typename record>
field<record> endpointField(std::string Name, endpoint record::*Member,
                            std::string Meaning, bool Required) {
  return makeField<record>(
      {std::move(Name), "address", "", "IP:PORT", std::move(Meaning), Required},
      Member, readEndpoint, [](const endpoint &Value) {
        return Value.Address.empty() ? std::string() : toText(Value);
      });
}

/// A field whose value is one of a few words.
template <typename record, typename value>
field<record> choiceField(std::string Name, value record::*Member,
                          std::vector<std::pair<std::string, value>> Choices,
                          std::string Meaning, bool Required = false) {
  std::string Range;
  for (const std::pair<std::string, value> &Choice : Choices)
    Range += (Range.empty() ? "" : ", ") + Choice.first;
  const auto Read = [Choices, Range](const nlohmann::json &Value) {
    const std::string Text = readText(Value);
    for (const std::pair<std::string, value> &Choice : Choices)
      if (Choice.first == Text)
        return Choice.second;
    throw field_error("must be one of: " + Range);
  };
  const auto Write = [Choices](const value &Value) {
    for (const std::pair<std::string, value> &Choice : Choices)
      if (Choice.second == Value)
        return Choice.first;
    return std::string();
  };
  return makeField<record>(
      {std::move(Name), "choice", "", Range, std::move(Meaning), Required},
      Member, Read, Write);
}

/// A record within a record.
template <typename record, typename inner>
field<record> sectionField(std::string Name, inner record::*Member,
                           const field_table<inner> &Table, std::string Meaning,
                           bool Required = false) {
  field<record> Field;
  Field.Description = {std::move(Name),    "object", "", "",
                       std::move(Meaning), Required};
  Field.Read = [Member, &Table](const nlohmann::json &Value, record &Record,
                                const field_context &Context) {
    Record.*Member = readRecord(Value, Table, Context);
  };
  Field.Write = [Member, &Table](const record &Record) {
    return writeRecord(Record.*Member, Table);
  };
  Field.DescribeNested = [&Table](auto &Lines, const std::string &Path) {
    describeTable(Table, Path + ".", Lines);
  };
  return Field;
}

/// A list of records.
template <typename record, typename element>
field<record> recordListField(std::string Name,
                              std::vector<element> record::*Member,
                              const field_table<element> &Table,
                              std::string Meaning, bool Required = false) {
  field<record> Field;
  Field.Description = {std::move(Name),    "list of objects", "", "",
                       std::move(Meaning), Required};
  Field.Read = [Member, &Table](const nlohmann::json &Value, record &Record,
                                const field_context &Context) {
    if (!Value.is_array())
      throw field_error("must be a list of objects");
    (Record.*Member).reserve(Value.size());
    for (std::size_t Index = 0; Index < Value.size(); ++Index)
      (Record.*Member)
          .push_back(readRecord(Value[Index], Table, Context.at(Index)));
  };
  Field.Write = [Member, &Table](const record &Record) {
    nlohmann::json List = nlohmann::json::array();
    for (const element &Element : Record.*Member)
      List.push_back(writeRecord(Element, Table));
    return List;
  };
  Field.DescribeNested = [&Table](auto &Lines, const std::string &Path) {
    describeTable(Table, Path + "[].", Lines);
  };
  return Field;
}

/// Lists the fields of a table and of what is within them, each with its
/// default as JSON.
template <typename record>
void describeTable(
    const field_table<record> &Table, const std::string &Prefix,
    std::vector<std::pair<field_description, std::string>> &Lines) {
  const record Default{};
  for (const field<record> &Field : Table) {
    field_description Description = Field.Description;
    Description.Name = Prefix + Description.Name;
    const bool HasDefault = !Description.Required && !Field.DescribeNested;
    Lines.emplace_back(Description,
                       HasDefault ? Field.Write(Default).dump() : "");
    if (Field.DescribeNested)
      Field.DescribeNested(Lines, Description.Name);
  }
}

/// Writes a table of fields in Markdown.
std::string writeReference(
    const std::vector<std::pair<field_description, std::string>> &Lines);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSETTINGS_FIELD_TABLE_H
