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
    constexpr double maxDemand = 1e15;

    /// Walks a message and stops at one that is too deep or has too many elements.
    class size_guard : public nlohmann::json_sax<json> {
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

    /// Reads the elements of an array in order; throws std::invalid_argument at one of another kind.
    class array_reader {
    public:
        explicit array_reader(const json& array)
            : m_array(array)
        {
            require(array.is_array(), "an array");
        }

        const json& readAny()
        {
            require(m_next < m_array.size(), "another element");
            return m_array[m_next++];
        }

        std::string readText(std::size_t maxBytes = maxNameBytes)
        {
            const auto& value = readAny();
            require(value.is_string(), "a text");
            auto text = value.get<std::string>();
            require(text.size() <= maxBytes, "a shorter text");
            return text;
        }

        std::uint64_t readCount()
        {
            const auto& value = readAny();
            require(value.is_number_unsigned(), "a count");
            return value.get<std::uint64_t>();
        }

        bool readFlag()
        {
            const auto& value = readAny();
            require(value.is_boolean(), "true or false");
            return value.get<bool>();
        }

        double readNumber(double maximum)
        {
            const auto& value = readAny();
            require(value.is_number(), "a number");
            const auto number = value.get<double>();
            require(std::isfinite(number) && number >= 0 && number <= maximum, "a number in range");
            return number;
        }

        milliseconds readAge() { return milliseconds(readNumber(maxAgeMs)); }

        document_kind readKind()
        {
            const auto value = readCount();
            require(value < documentKindCount, "a kind of document");
            return static_cast<document_kind>(value);
        }

        void finish() const { require(m_next == m_array.size(), "the end"); }

        static void require(bool isGood, const char* expected)
        {
            if (!isGood)
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
        version.revision = reader.readCount();
        version.digest = reader.readText();
        reader.finish();
        return version;
    }

    json writeFact(const instance_announcement& fact)
    {
        return json::array({ fact.instance, fact.service, fact.region, fact.zone, fact.meshAddress,
            fact.peerAddress, fact.startNumber, fact.sequence, fact.isLeaving, fact.linkDemandBytesPerSecond,
            writeAge(fact.age) });
    }

    instance_announcement readFact(const json& value)
    {
        array_reader reader(value);
        instance_announcement fact;
        fact.instance = reader.readText();
        fact.service = reader.readText();
        fact.region = reader.readText();
        fact.zone = reader.readText();
        fact.meshAddress = reader.readText();
        fact.peerAddress = reader.readText();
        fact.startNumber = reader.readCount();
        fact.sequence = reader.readCount();
        fact.isLeaving = reader.readFlag();
        fact.linkDemandBytesPerSecond = reader.readNumber(maxDemand);
        fact.age = reader.readAge();
        reader.finish();
        return fact;
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
        refresh.instanceHash = reader.readCount();
        refresh.startNumber = reader.readCount();
        refresh.sequence = reader.readCount();
        refresh.isLeaving = reader.readFlag();
        refresh.linkDemandBytesPerSecond = reader.readNumber(maxDemand);
        refresh.age = reader.readAge();
        reader.finish();
        return refresh;
    }

    delta_step readStep(const json& value)
    {
        delta_step step;
        if (value.is_number_unsigned()) {
            step.chunkHash = value.get<std::uint64_t>();
            array_reader::require(step.chunkHash != 0, "a chunk");
            return step;
        }
        array_reader::require(value.is_string(), "bytes or a chunk");
        step.literal = value.get<std::string>();
        return step;
    }

    template <typename Item, typename Read> std::vector<Item> readList(const json& value, Read read)
    {
        array_reader::require(value.is_array(), "a list");
        std::vector<Item> items;
        for (const auto& item : value)
            items.push_back(read(item));
        return items;
    }

    std::uint64_t readHash(const json& value)
    {
        array_reader::require(value.is_number_unsigned(), "a hash");
        return value.get<std::uint64_t>();
    }

    /// Writes the elements of each type of message after the type's number.
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
                { writeVersion(message.presets), writeVersion(message.vmList), message.factsDigest,
                    message.reader.instance, message.reader.isElected, writeAge(message.reader.age) });
        }

        json operator()(const peer_facts& message) const
        {
            json facts = json::array();
            for (const auto& fact : message.facts)
                facts.push_back(writeFact(fact));
            json refreshes = json::array();
            for (const auto& refresh : message.refreshes)
                refreshes.push_back(writeRefresh(refresh));
            return json::array({ std::move(facts), std::move(refreshes) });
        }

        json operator()(const peer_fact_digests& message) const
        {
            return json::array({ json(message.buckets), message.isReply });
        }

        json operator()(const document_request& message) const
        {
            return json::array({ static_cast<std::uint64_t>(message.kind), json(message.chunkHashes) });
        }

        json operator()(const document_answer& message) const
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
        message.nonce = reader.readText();
        return message;
    }

    peer_message readHello(array_reader& reader)
    {
        peer_hello message;
        message.instance = reader.readText();
        message.startNumber = reader.readCount();
        message.nonce = reader.readText();
        message.signature = reader.readText();
        return message;
    }

    peer_message readHeartbeat(array_reader& reader)
    {
        peer_heartbeat message;
        message.presets = readVersion(reader.readAny());
        message.vmList = readVersion(reader.readAny());
        message.factsDigest = reader.readCount();
        message.reader.instance = reader.readText();
        message.reader.isElected = reader.readFlag();
        message.reader.age = reader.readAge();
        return message;
    }

    peer_message readFacts(array_reader& reader)
    {
        peer_facts message;
        message.facts = readList<instance_announcement>(reader.readAny(), readFact);
        message.refreshes = readList<announcement_refresh>(reader.readAny(), readRefresh);
        return message;
    }

    peer_message readFactDigests(array_reader& reader)
    {
        peer_fact_digests message;
        message.buckets = readList<std::uint64_t>(reader.readAny(), readHash);
        message.isReply = reader.readFlag();
        return message;
    }

    peer_message readRequest(array_reader& reader)
    {
        document_request message;
        message.kind = reader.readKind();
        message.chunkHashes = readList<std::uint64_t>(reader.readAny(), readHash);
        return message;
    }

    peer_message readAnswer(array_reader& reader)
    {
        document_answer message;
        message.kind = reader.readKind();
        message.version = readVersion(reader.readAny());
        message.steps = readList<delta_step>(reader.readAny(), readStep);
        return message;
    }

    /// The readers, in the order of the alternatives of peer_message.
    using body_reader = peer_message (*)(array_reader&);
    constexpr body_reader bodyReaders[]
        = { readChallenge, readHello, readHeartbeat, readFacts, readFactDigests, readRequest, readAnswer };
    static_assert(std::size(bodyReaders) == std::variant_size_v<peer_message>);

    peer_message readMessage(const json& value)
    {
        array_reader reader(value);
        const auto type = reader.readCount();
        array_reader::require(type < std::size(bodyReaders), "a type of message");
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
        return fail(error_kind::BadPeerMessage, "a peer message is larger than 2 MiB");
    size_guard guard;
    if (!json::sax_parse(bytes, &guard, json::input_format_t::cbor))
        return fail(error_kind::BadPeerMessage, "a peer message is not CBOR, too deep or too long");
    try {
        return readMessage(json::from_cbor(bytes));
    } catch (const json::exception& fault) {
        return fail(error_kind::BadPeerMessage, std::string("a peer message can't be read: ") + fault.what());
    } catch (const std::invalid_argument& fault) {
        return fail(error_kind::BadPeerMessage, std::string("a peer message is malformed: ") + fault.what());
    }
}

} // namespace fuchsiagauge
