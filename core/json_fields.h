#pragma once

#include "core/clock.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <vector>

/// Converts structs to and from JSON by one list of fields per struct.
///
/// Include this header only in source files, as it includes the whole JSON library.
namespace fuchsiagauge::json_fields {

using json = nlohmann::json;

/// List of the fields of a struct. Specialise it in the source file that converts the struct, with a static
/// `visit(object, visitor)` that calls `visitor("key", object.field)` for each field.
template <typename Struct> struct field_list;

/// JSON names of the values of an enum. Specialise it with a static `getName(value)` and a static
/// `getValues()` that returns all values.
template <typename Enum> struct enum_names;

template <typename Value> json write(const Value& value);
template <typename Value> bool read(const json& source, Value& value);

/// Writes each visited field into a JSON object.
struct field_writer {
    json object = json::object();

    template <typename Value> void operator()(const char* key, const Value& value)
    {
        object[key] = write(value);
    }
};

/// Reads each visited field that the JSON object contains, up to the first invalid one. Absent fields keep
/// their value.
struct field_reader {
    const json& object;
    std::string firstInvalidKey; ///< Empty if all fields read so far are valid.

    template <typename Value> void operator()(const char* key, Value& value)
    {
        const auto found = object.find(key);
        if (found == object.end() || !firstInvalidKey.empty())
            return;
        if (!read(*found, value))
            firstInvalidKey = key;
    }
};

template <typename Value> struct is_vector : std::false_type {
};
template <typename Item> struct is_vector<std::vector<Item>> : std::true_type {
};

/// Converts a value to JSON: a number, string, Boolean, milliseconds, an enum with enum_names, a vector or a
/// struct with a field_list.
template <typename Value> json write(const Value& value)
{
    if constexpr (std::is_arithmetic_v<Value> || std::is_same_v<Value, std::string>) {
        return value;
    } else if constexpr (std::is_same_v<Value, milliseconds>) {
        return value.getCount();
    } else if constexpr (std::is_enum_v<Value>) {
        return enum_names<Value>::getName(value);
    } else if constexpr (is_vector<Value>::value) {
        auto list = json::array();
        for (const auto& item : value)
            list.push_back(write(item));
        return list;
    } else {
        field_writer writer;
        field_list<Value>::visit(value, writer);
        return writer.object;
    }
}

/// Reads an integer.
/// @return false, with the value unchanged, if the JSON value is no integer or doesn't fit the type.
template <typename Integer> bool readInteger(const json& source, Integer& value)
{
    if (!source.is_number_integer())
        return false;
    if (source.is_number_unsigned()) {
        const auto number = source.get<std::uint64_t>();
        if (number > static_cast<std::uint64_t>(std::numeric_limits<Integer>::max()))
            return false;
        value = static_cast<Integer>(number);
        return true;
    }
    const auto number = source.get<std::int64_t>();
    if (std::is_unsigned_v<
            Integer> || number < static_cast<std::int64_t>(std::numeric_limits<Integer>::min()))
        return false;
    value = static_cast<Integer>(number);
    return true;
}

/// Reads an array.
/// @return false if the JSON value is no array or one of its items is invalid.
template <typename Item> bool readList(const json& source, std::vector<Item>& list)
{
    if (!source.is_array())
        return false;
    list.clear();
    for (const auto& entry : source) {
        Item item {};
        if (!read(entry, item))
            return false;
        list.push_back(std::move(item));
    }
    return true;
}

/// Reads an enum value by its name.
/// @return false if the JSON value is no string or names no value.
template <typename Enum> bool readEnum(const json& source, Enum& value)
{
    if (!source.is_string())
        return false;
    for (const auto candidate : enum_names<Enum>::getValues()) {
        if (source.get_ref<const std::string&>() == enum_names<Enum>::getName(candidate)) {
            value = candidate;
            return true;
        }
    }
    return false;
}

/// Reads a value in the form that write() produces.
/// @return whether the JSON value has the right type and is in range.
template <typename Value> bool read(const json& source, Value& value)
{
    if constexpr (std::is_same_v<Value, bool>) {
        if (source.is_boolean())
            value = source.get<bool>();
        return source.is_boolean();
    } else if constexpr (std::is_integral_v<Value>) {
        return readInteger(source, value);
    } else if constexpr (std::is_same_v<Value, double>) {
        if (source.is_number())
            value = source.get<double>();
        return source.is_number();
    } else if constexpr (std::is_same_v<Value, std::string>) {
        if (source.is_string())
            value = source.get<std::string>();
        return source.is_string();
    } else if constexpr (std::is_same_v<Value, milliseconds>) {
        if (source.is_number())
            value = milliseconds(source.get<double>());
        return source.is_number();
    } else if constexpr (std::is_enum_v<Value>) {
        return readEnum(source, value);
    } else if constexpr (is_vector<Value>::value) {
        return readList(source, value);
    } else {
        if (!source.is_object())
            return false;
        field_reader reader { source, {} };
        field_list<Value>::visit(value, reader);
        return reader.firstInvalidKey.empty();
    }
}

/// Formats a value as JSON text.
/// @return the text; invalid UTF-8 is replaced by U+FFFD.
template <typename Value> std::string format(const Value& value)
{
    return write(value).dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Parses a value from JSON text.
/// @return whether the text is valid JSON of the value's type.
template <typename Value> bool parse(const std::string& text, Value& value)
{
    const auto source = json::parse(text, nullptr, false);
    return !source.is_discarded() && read(source, value);
}

} // namespace fuchsiagauge::json_fields
