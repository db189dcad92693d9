#include "tests/stand_ins/target_service.h"

#include <CLI/CLI.hpp>
#include <iostream>

namespace fuchsiagauge::stand_in {
namespace {

    void addOptions(CLI::App& app, target_options& options)
    {
        app.add_option("--listen", options.listen, "address (ip:port) for work")->required();
        app.add_option("--control", options.control, "address (ip:port) that sets faults")->required();
        app.add_option("--egress", options.egress, "egress address (ip:port) of the own node");
        app.add_option("--instance", options.instance, "name of the instance");
        app.add_option("--service", options.service, "name of the service");
        app.add_option("--slots", options.slots, "requests that run at once");
        app.add_option("--queue", options.queue, "requests that wait for a slot");
        app.add_option("--service-ms", options.serviceMs, "mean service time");
        app.add_option("--spread", options.spread, "0: fixed service time, 1: exponential")
            ->check(CLI::Range(0.0, 1.0));
        app.add_option("--cold-ms", options.coldMs, "time after the start in which it is slower");
        app.add_option(
            "--calls", options.calls, "services called: `a,b` one after another, `a+b` in parallel");
        app.add_option("--answer-bytes", options.answerBytes, "size of an answer's body");
        app.add_option("--journal", options.journalFile, "file that records what ran");
        app.add_flag("--journal-all", options.isRecordingAll, "records requests without an order id too");
        app.add_option("--seed", options.seed, "seed of the service times and faults");
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
