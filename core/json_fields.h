#pragma once

#include "core/clock.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <vector>

/// Typed structs to and from JSON, from one list of fields for each struct.
///
/// For source files only, as this includes the JSON library.
namespace fuchsiagauge::json_fields {

using json = nlohmann::json;

/// The fields of a struct. Specialised beside its conversion with a static
/// `visit(object, visitor)` that calls `visitor("key", object.field)` for each field.
template <typename Struct> struct field_list;

/// The words of an enum. Specialised with a static `getName(value)` and a static `all()`
/// that gives every value.
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

/// Reads each visited field that a JSON object has and remembers the first one that is not valid.
struct field_reader {
    const json& object;
    std::string firstInvalidKey;

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

/// @return a value as JSON: numbers, texts, flags, times, enums, lists and structs with a field list.
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

/// Reads a value as write() writes it.
/// @return whether the JSON value had the type and the range of the value.
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

/// @return a value as JSON text; bytes that are not UTF-8 are replaced.
template <typename Value> std::string format(const Value& value)
{
    return write(value).dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Reads a value from JSON text.
/// @return whether the text was JSON of the value's form.
template <typename Value> bool parse(const std::string& text, Value& value)
{
    const auto source = json::parse(text, nullptr, false);
    return !source.is_discarded() && read(source, value);
}

} // namespace fuchsiagauge::json_fields
