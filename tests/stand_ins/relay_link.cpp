#include "tests/stand_ins/relay_link.h"

#include "core/clock.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>

namespace fuchsiagauge::stand_in {
namespace {

    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;
    using error_code = boost::system::error_code;

    constexpr std::size_t readBlockBytes = 16384;
    constexpr std::size_t maxQueuedBytes = 1 << 20;
    constexpr double blackholePollMs = 20;
    constexpr double msPerSecond = 1000;

    std::chrono::microseconds toMicroseconds(double durationMs)
    {
        return std::chrono::microseconds(static_cast<long long>(durationMs * 1000));
    }

    double now()
    {
        static const auto steady = clock::makeSteady();
        return steady.now().getCount();
    }

    tcp::endpoint makeEndpoint(const address& value)
    {
        return tcp::endpoint(asio::ip::make_address(value.host), value.port);
    }

    /// A block of bytes that is queued until its delivery time.
    struct queued_block {
        double deliverAtMs;
        std::string bytes;
    };

} // namespace

/// One relayed connection. Each direction has a coroutine that reads and one that writes.
struct relay_link::connection : std::enable_shared_from_this<connection> {
    /// One direction of the connection.
    struct relay_stream {
        relay_stream(
            asio::io_context& context, tcp::socket& source, tcp::socket& sink, link_direction streamDirection)
            : from(source)
            , to(sink)
            , direction(streamDirection)
            , changed(context, asio::steady_timer::time_point::max())
        {
        }

        tcp::socket& from;
        tcp::socket& to;
        link_direction direction;
        asio::steady_timer changed; ///< Cancelled on each change to wake the waiting coroutine.
        std::deque<queued_block> queuedBlocks;
        std::size_t queuedBytes = 0;
        bool hasEnded = false;
    };

    connection(
        asio::io_context& context, relay_link& relayLink, const relay_route& relayRoute, tcp::socket accepted)
        : link(relayLink)
        , caller(std::move(accepted))
        , destination(context)
        , route(relayRoute)
        , forward(context, caller, destination,
              relayRoute.isReversed ? link_direction::Back : link_direction::Forward)
        , back(context, destination, caller,
              relayRoute.isReversed ? link_direction::Forward : link_direction::Back)
    {
    }

    void wait(relay_stream& stream, const asio::yield_context& yield)
    {
        error_code code;
        stream.changed.async_wait(yield[code]);
    }

    void sleep(double durationMs, const asio::yield_context& yield)
    {
        asio::steady_timer timer(caller.get_executor(), toMicroseconds(durationMs));
        error_code code;
        timer.async_wait(yield[code]);
    }

    void close()
    {
        error_code code;
        isClosed = true;
        caller.close(code);
        destination.close(code);
        forward.changed.cancel();
        back.changed.cancel();
        link.removeConnection(shared_from_this());
    }

    void read(relay_stream& stream, const asio::yield_context& yield)
    {
        std::string block;
        while (!isClosed) {
            block.resize(readBlockBytes);
            error_code code;
            const auto count = stream.from.async_read_some(asio::buffer(block), yield[code]);
            if (code)
                break;
            stream.queuedBytes += count;
            stream.queuedBlocks.push_back(
                { link.scheduleDelivery(stream.direction, count, now()), block.substr(0, count) });
            stream.changed.cancel();
            while (stream.queuedBytes > maxQueuedBytes && !isClosed)
                wait(stream, yield);
        }
        stream.hasEnded = true;
        stream.changed.cancel();
    }

    /// Writes a block at its delivery time, or later if the link is a black hole at that time.
    /// @return whether the block was written.
    bool deliver(relay_stream& stream, const queued_block& next, const asio::yield_context& yield)
    {
        if (next.deliverAtMs > now())
            sleep(next.deliverAtMs - now(), yield);
        while (link.getConditions().isBlackhole && !isClosed)
            sleep(blackholePollMs, yield);
        if (isClosed)
            return false;
        error_code code;
        asio::async_write(stream.to, asio::buffer(next.bytes), yield[code]);
        stream.queuedBytes -= next.bytes.size();
        stream.changed.cancel();
        return !code;
    }

    void write(relay_stream& stream, const asio::yield_context& yield)
    {
        while (!isClosed && !(stream.queuedBlocks.empty() && stream.hasEnded)) {
            if (stream.queuedBlocks.empty()) {
                wait(stream, yield);
                continue;
            }
            const auto next = std::move(stream.queuedBlocks.front());
            stream.queuedBlocks.pop_front();
            if (!deliver(stream, next, yield))
                return close();
        }
        error_code code;
        if (!isClosed)
            stream.to.shutdown(tcp::socket::shutdown_send, code);
        if (forward.hasEnded && back.hasEnded && !isClosed)
            close();
    }

    void run(const asio::yield_context& yield)
    {
        error_code code;
        link.addConnection(shared_from_this());
        destination.async_connect(makeEndpoint(route.to), yield[code]);
        if (code || isClosed)
            return close();
        caller.set_option(tcp::no_delay(true), code);
        destination.set_option(tcp::no_delay(true), code);
        for (auto* stream : { &forward, &back }) {
            spawn([self = shared_from_this(), stream](
                      const asio::yield_context& streamYield) { self->read(*stream, streamYield); });
            spawn([self = shared_from_this(), stream](
                      const asio::yield_context& streamYield) { self->write(*stream, streamYield); });
        }
    }

    template <typename Function> void spawn(Function function)
    {
        asio::spawn(caller.get_executor(), std::move(function));
    }

    relay_link& link;
    tcp::socket caller;
    tcp::socket destination;
    relay_route route;
    relay_stream forward;
    relay_stream back;
    bool isClosed = false;
};

double link_pacer::scheduleSend(std::size_t bytes, double bytesPerSecond, double nowMs)
{
    if (bytesPerSecond <= 0)
        return nowMs;
    m_freeAtMs = std::max(m_freeAtMs, nowMs) + static_cast<double>(bytes) / bytesPerSecond * msPerSecond;
    return m_freeAtMs;
}

void relay_link::setConditions(const link_conditions& conditions)
{
    const bool wasCut = m_conditions.isCut;
    m_conditions = conditions;
    if (conditions.isCut == wasCut)
        return;
    for (const auto& setListening : m_listeners)
        setListening(!conditions.isCut);
    if (!conditions.isCut)
        return;
    const auto openConnections = m_connections;
    for (const auto& connection : openConnections)
        connection->close();
}

double relay_link::scheduleDelivery(link_direction direction, std::size_t bytes, double nowMs)
{
    const auto index = static_cast<std::size_t>(direction);
    m_bytes[index] += bytes;
    return m_pacers[index].scheduleSend(bytes, m_conditions.bytesPerSecond, nowMs) + m_conditions.delayMs;
}

link_conditions readLinkConditions(document_reader& reader, const link_conditions& previous)
{
    constexpr double maxDelayMs = 60000;
    constexpr double maxBytesPerSecond = 1e12;
    auto next = previous;
    next.isCut = reader.getFlag("cut", next.isCut);
    next.isBlackhole = reader.getFlag("blackhole", next.isBlackhole);
    next.delayMs = reader.getNumber("delay_ms", next.delayMs, 0, maxDelayMs);
    next.bytesPerSecond = reader.getNumber("bytes_per_second", next.bytesPerSecond, 0, maxBytesPerSecond);
    return next;
}

namespace {

    /// Listens on the address of one route, except while its link is cut.
    class relay_listener : public std::enable_shared_from_this<relay_listener> {
    public:
        relay_listener(asio::io_context& context, const relay_route& route, relay_link& link)
            : m_context(context)
            , m_route(route)
            , m_link(link)
            , m_acceptor(context)
        {
        }

        void setListening(bool isOpen)
        {
            error_code code;
            if (!isOpen) {
                m_acceptor.close(code);
                return;
            }
            const auto endpoint = makeEndpoint(m_route.listen);
            m_acceptor.open(endpoint.protocol());
            m_acceptor.set_option(tcp::acceptor::reuse_address(true));
            m_acceptor.bind(endpoint);
            m_acceptor.listen();
            accept();
        }

    private:
        void accept()
        {
            m_acceptor.async_accept([self = shared_from_this()](const error_code& code, tcp::socket socket) {
                if (!self->m_acceptor.is_open())
                    return;
                if (!code)
                    self->relay(std::move(socket));
                self->accept();
            });
        }

        void relay(tcp::socket socket)
        {
            auto connection
                = std::make_shared<relay_link::connection>(m_context, m_link, m_route, std::move(socket));
            asio::spawn(
                m_context, [connection](const asio::yield_context& yield) { connection->run(yield); });
        }

        asio::io_context& m_context;
        relay_route m_route;
        relay_link& m_link;
        tcp::acceptor m_acceptor;
    };

} // namespace

void serveRoute(asio::io_context& context, const relay_route& route, relay_link& link)
{
    auto listener = std::make_shared<relay_listener>(context, route, link);
    listener->setListening(!link.getConditions().isCut);
    link.addListener([listener](bool isOpen) { listener->setListening(isOpen); });
}

} // namespace fuchsiagauge::stand_in
