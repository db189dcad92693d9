#include "policy/peer_message.h"

#include "core/error.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace fuchsiagauge {
namespace {

    using json = nlohmann::json;

    constexpr std::size_t maxDepth = 6;
    constexpr std::size_t maxElements = 200000;
    constexpr std::size_t maxNameBytes = 256;
    constexpr double maxAgeMs = 1e12;
    constexpr double maxDemandBytesPerSecond = 1e15;

    /// SAX handler that rejects a message with too deep nesting, too many elements or an object, before a
    /// document tree is built for it.
    class message_size_guard : public nlohmann::json_sax<json> {
    public:
        bool null() override { return count(); }
        bool boolean(bool) override { return count(); }
        bool number_integer(number_integer_t) override { return count(); }
        bool number_unsigned(number_unsigned_t) override { return count(); }
        bool number_float(number_float_t, const string_t&) override { return count(); }
        bool string(string_t&) override { return count(); }
        bool binary(binary_t&) override { return count(); }
        bool start_object(std::size_t) override { return false; }
        bool key(string_t&) override { return false; }
        bool end_object() override { return false; }
        bool start_array(std::size_t) override { return ++m_depth <= maxDepth && count(); }
        bool end_array() override
        {
            --m_depth;
            return true;
        }
        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override
        {
            return false;
        }

    private:
        bool count() { return ++m_elements <= maxElements; }

        std::size_t m_depth = 0;
        std::size_t m_elements = 0;
    };

    /// Reads the elements of an array in order. Throws std::invalid_argument if an element is missing, or has
    /// an unexpected type or value.
    class array_reader {
    public:
        explicit array_reader(const json& array)
            : m_array(array)
        {
            require(array.is_array(), "an array");
        }

        const json& readElement()
        {
            require(m_next < m_array.size(), "another element");
            return m_array[m_next++];
        }

        std::string readString(std::size_t maxBytes = maxNameBytes)
        {
            const auto& value = readElement();
            require(value.is_string(), "a string");
            auto text = value.get<std::string>();
            require(text.size() <= maxBytes, "a shorter string");
            return text;
        }

        std::uint64_t readUnsigned()
        {
            const auto& value = readElement();
            require(value.is_number_unsigned(), "an unsigned integer");
            return value.get<std::uint64_t>();
        }

        bool readBool()
        {
            const auto& value = readElement();
            require(value.is_boolean(), "a boolean");
            return value.get<bool>();
        }

        double readNumber(double maximum)
        {
            const auto& value = readElement();
            require(value.is_number(), "a number");
            const auto number = value.get<double>();
            require(std::isfinite(number) && number >= 0 && number <= maximum, "a number in range");
            return number;
        }

        milliseconds readAge() { return milliseconds(readNumber(maxAgeMs)); }

        document_kind readKind()
        {
            const auto value = readUnsigned();
            require(value < documentKindCount, "a document kind");
            return static_cast<document_kind>(value);
        }

        void finish() const { require(m_next == m_array.size(), "the end of the array"); }

        static void require(bool isValid, const char* expected)
        {
            if (!isValid)
                throw std::invalid_argument(std::string("expected ") + expected);
        }

    private:
        const json& m_array;
        std::size_t m_next = 0;
    };

    json writeAge(milliseconds age)
    {
        return static_cast<std::uint64_t>(std::max(0.0, std::round(age.getCount())));
    }

    json writeVersion(const document_version& version)
    {
        return json::array({ version.revision, version.digest });
    }

    document_version readVersion(const json& value)
    {
        array_reader reader(value);
        document_version version;
        version.revision = reader.readUnsigned();
        version.digest = reader.readString();
        reader.finish();
        return version;
    }

    json writeAnnouncement(const instance_announcement& announcement)
    {
        return json::array({ announcement.instance, announcement.service, announcement.region,
            announcement.zone, announcement.meshAddress, announcement.peerAddress, announcement.startNumber,
            announcement.sequence, announcement.isLeaving, announcement.linkDemandBytesPerSecond,
            writeAge(announcement.age) });
    }

    instance_announcement readAnnouncement(const json& value)
    {
        array_reader reader(value);
        instance_announcement announcement;
        announcement.instance = reader.readString();
        announcement.service = reader.readString();
        announcement.region = reader.readString();
        announcement.zone = reader.readString();
        announcement.meshAddress = reader.readString();
        announcement.peerAddress = reader.readString();
        announcement.startNumber = reader.readUnsigned();
        announcement.sequence = reader.readUnsigned();
        announcement.isLeaving = reader.readBool();
        announcement.linkDemandBytesPerSecond = reader.readNumber(maxDemandBytesPerSecond);
        announcement.age = reader.readAge();
        reader.finish();
        return announcement;
    }

    json writeRefresh(const announcement_refresh& refresh)
    {
        return json::array({ refresh.instanceHash, refresh.startNumber, refresh.sequence, refresh.isLeaving,
            refresh.linkDemandBytesPerSecond, writeAge(refresh.age) });
    }

    announcement_refresh readRefresh(const json& value)
    {
        array_reader reader(value);
        announcement_refresh refresh;
        refresh.instanceHash = reader.readUnsigned();
        refresh.startNumber = reader.readUnsigned();
        refresh.sequence = reader.readUnsigned();
        refresh.isLeaving = reader.readBool();
        refresh.linkDemandBytesPerSecond = reader.readNumber(maxDemandBytesPerSecond);
        refresh.age = reader.readAge();
        reader.finish();
        return refresh;
    }

    delta_step readStep(const json& value)
    {
        delta_step step;
        if (value.is_number_unsigned()) {
            step.chunkHash = value.get<std::uint64_t>();
            array_reader::require(step.chunkHash != 0, "a nonzero chunk hash");
            return step;
        }
        array_reader::require(value.is_string(), "a string or a chunk hash");
        step.literal = value.get<std::string>();
        return step;
    }

    template <typename Item, typename Read> std::vector<Item> readList(const json& value, Read read)
    {
        array_reader::require(value.is_array(), "an array");
        std::vector<Item> items;
        for (const auto& item : value)
            items.push_back(read(item));
        return items;
    }

    std::uint64_t readHash(const json& value)
    {
        array_reader::require(value.is_number_unsigned(), "an unsigned integer");
        return value.get<std::uint64_t>();
    }

    /// Writes the elements that follow the type number, for each type of message.
    class body_writer {
    public:
        json operator()(const peer_challenge& message) const { return json::array({ message.nonce }); }

        json operator()(const peer_hello& message) const
        {
            return json::array({ message.instance, message.startNumber, message.nonce, message.signature });
        }

        json operator()(const peer_heartbeat& message) const
        {
            return json::array(
                { writeVersion(message.presets), writeVersion(message.vmList), message.announcementsDigest,
                    message.reader.instance, message.reader.isElected, writeAge(message.reader.age) });
        }

        json operator()(const peer_announcements& message) const
        {
            json announcements = json::array();
            for (const auto& announcement : message.announcements)
                announcements.push_back(writeAnnouncement(announcement));
            json refreshes = json::array();
            for (const auto& refresh : message.refreshes)
                refreshes.push_back(writeRefresh(refresh));
            return json::array({ std::move(announcements), std::move(refreshes) });
        }

        json operator()(const peer_announcement_digests& message) const
        {
            return json::array({ json(message.buckets), message.isReply });
        }

        json operator()(const document_request& message) const
        {
            return json::array({ static_cast<std::uint64_t>(message.kind), json(message.chunkHashes) });
        }

        json operator()(const document_response& message) const
        {
            json steps = json::array();
            for (const auto& step : message.steps)
                steps.push_back(step.chunkHash == 0 ? json(step.literal) : json(step.chunkHash));
            return json::array({ static_cast<std::uint64_t>(message.kind), writeVersion(message.version),
                std::move(steps) });
        }
    };

    peer_message readChallenge(array_reader& reader)
    {
        peer_challenge message;
        message.nonce = reader.readString();
        return message;
    }

    peer_message readHello(array_reader& reader)
    {
        peer_hello message;
        message.instance = reader.readString();
        message.startNumber = reader.readUnsigned();
        message.nonce = reader.readString();
        message.signature = reader.readString();
        return message;
    }

    peer_message readHeartbeat(array_reader& reader)
    {
        peer_heartbeat message;
        message.presets = readVersion(reader.readElement());
        message.vmList = readVersion(reader.readElement());
        message.announcementsDigest = reader.readUnsigned();
        message.reader.instance = reader.readString();
        message.reader.isElected = reader.readBool();
        message.reader.age = reader.readAge();
        return message;
    }

    peer_message readAnnouncements(array_reader& reader)
    {
        peer_announcements message;
        message.announcements = readList<instance_announcement>(reader.readElement(), readAnnouncement);
        message.refreshes = readList<announcement_refresh>(reader.readElement(), readRefresh);
        return message;
    }

    peer_message readAnnouncementDigests(array_reader& reader)
    {
        peer_announcement_digests message;
        message.buckets = readList<std::uint64_t>(reader.readElement(), readHash);
        message.isReply = reader.readBool();
        return message;
    }

    peer_message readDocumentRequest(array_reader& reader)
    {
        document_request message;
        message.kind = reader.readKind();
        message.chunkHashes = readList<std::uint64_t>(reader.readElement(), readHash);
        return message;
    }

    peer_message readDocumentResponse(array_reader& reader)
    {
        document_response message;
        message.kind = reader.readKind();
        message.version = readVersion(reader.readElement());
        message.steps = readList<delta_step>(reader.readElement(), readStep);
        return message;
    }

    /// Reads the elements of one type of message.
    using body_reader = peer_message (*)(array_reader&);

    /// In the order of the alternatives of peer_message, since the type number is an index into both.
    constexpr body_reader bodyReaders[] = { readChallenge, readHello, readHeartbeat, readAnnouncements,
        readAnnouncementDigests, readDocumentRequest, readDocumentResponse };
    static_assert(std::size(bodyReaders) == std::variant_size_v<peer_message>);

    peer_message readMessage(const json& value)
    {
        array_reader reader(value);
        const auto type = reader.readUnsigned();
        array_reader::require(type < std::size(bodyReaders), "a message type");
        auto message = bodyReaders[type](reader);
        reader.finish();
        return message;
    }

} // namespace

std::string encodePeerMessage(const peer_message& message)
{
    json elements = json::array({ message.index() });
    for (auto& element : std::visit(body_writer(), message))
        elements.push_back(std::move(element));
    std::string bytes;
    json::to_cbor(elements, bytes);
    return bytes;
}

std::optional<peer_message> decodePeerMessage(const std::string& bytes)
{
    if (bytes.size() > maxPeerMessageBytes)
        return fail(error_kind::BadPeerMessage, "peer message larger than 2 MiB");
    message_size_guard guard;
    if (!json::sax_parse(bytes, &guard, json::input_format_t::cbor))
        return fail(error_kind::BadPeerMessage,
            "peer message is not CBOR, is nested too deeply or has too many elements");
    try {
        return readMessage(json::from_cbor(bytes));
    } catch (const json::exception& exception) {
        return fail(
            error_kind::BadPeerMessage, std::string("cannot decode peer message: ") + exception.what());
    } catch (const std::invalid_argument& exception) {
        return fail(error_kind::BadPeerMessage, std::string("malformed peer message: ") + exception.what());
    }
}

} // namespace fuchsiagauge
