#include "tests/stand_ins/target_service.h"

#include <CLI/CLI.hpp>
#include <iostream>

namespace fuchsiagauge::stand_in {
namespace {

    void addOptions(CLI::App& app, target_options& options)
    {
        app.add_option("--listen", options.listen, "address (ip:port) that serves requests")->required();
        app.add_option(
               "--control", options.control, "address (ip:port) of the control interface, which sets faults")
            ->required();
        app.add_option("--egress", options.egress, "egress address (ip:port) of the local node");
        app.add_option("--instance", options.instance, "name of the instance");
        app.add_option("--service", options.service, "name of the service");
        app.add_option("--slots", options.slots, "maximum number of requests that run concurrently");
        app.add_option("--queue", options.queue, "maximum number of requests that wait for a slot");
        app.add_option("--service-ms", options.serviceMs, "mean service time in milliseconds");
        app.add_option("--spread", options.spread, "0: fixed service time, 1: exponentially distributed")
            ->check(CLI::Range(0.0, 1.0));
        app.add_option("--cold-ms", options.coldMs,
            "time after startup in milliseconds during which requests take longer");
        app.add_option(
            "--calls", options.calls, "downstream services to call: `a,b` in sequence, `a+b` in parallel");
        app.add_option("--answer-bytes", options.answerBytes, "size of a response body in bytes");
        app.add_option("--journal", options.journalFile, "file to which the requests that ran are recorded");
        app.add_flag("--journal-all", options.isRecordingAll, "also record requests without an order id");
        app.add_option("--seed", options.seed, "seed for random service times and faults");
    }

    int run(const target_options& options)
    {
        const auto listen = parseAddress(options.listen);
        const auto control = parseAddress(options.control);
        if (!listen || !control)
            throw std::runtime_error("--listen and --control expect ip:port");
        if (!options.calls.empty() && !parseAddress(options.egress))
            throw std::runtime_error("--calls needs --egress ip:port");
        boost::asio::io_context context(1);
        target_service service(context, options);
        serveHttp(
            context, *listen, [&](auto& exchange, const auto& yield) { service.serve(exchange, yield); });
        serveHttp(
            context, *control, [&](auto& exchange, const auto& yield) { service.control(exchange, yield); });
        context.run();
        return 0;
    }

} // namespace
} // namespace fuchsiagauge::stand_in

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in for a target: an instance of a service, for tests." };
    fuchsiagauge::stand_in::target_options options;
    fuchsiagauge::stand_in::addOptions(app, options);
    CLI11_PARSE(app, argc, argv);
    try {
        return fuchsiagauge::stand_in::run(options);
    } catch (const std::exception& fault) {
        std::cerr << "stand_in_target: " << fault.what() << '\n';
        return 1;
    }
}
