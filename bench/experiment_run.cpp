#include "bench/experiment_run.h"

#include "bench/arrival_schedule.h"
#include "bench/group_caller.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <sstream>

namespace fuchsiagauge::bench {
namespace {

    namespace asio = boost::asio;

    /// Open-loop load generator: sends each group's requests at their arrival times, whether or not earlier
    /// requests have ended.
    class experiment_run {
    public:
        experiment_run(const experiment& plan, const run_hooks& hooks)
            : m_plan(plan)
            , m_hooks(hooks)
            , m_startTime(std::chrono::steady_clock::now())
        {
            const clock runClock([this] { return milliseconds(getElapsedMs()); });
            for (std::size_t index = 0; index < plan.groups.size(); ++index) {
                const auto& group = plan.groups[index];
                const auto seed = plan.seed * 1009 + index;
                m_callers.push_back(std::make_unique<group_caller>(m_context, group, seed, runClock));
                m_reports.emplace_back(group.name, group.className);
            }
            m_reports.emplace_back("all", "");
        }

        experiment_report run()
        {
            for (std::size_t index = 0; index < m_callers.size(); ++index)
                asio::spawn(m_context,
                    [this, index](const asio::yield_context& yield) { sendRequests(index, yield); });
            asio::spawn(m_context, [this](const asio::yield_context& yield) { showProgress(yield); });
            m_context.run();
            return { m_plan, std::move(m_reports) };
        }

    private:
        double getElapsedMs() const
        {
            return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - m_startTime)
                .count();
        }

        void sleepUntil(double atS, const asio::yield_context& yield)
        {
            const auto at = m_startTime
                + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                    std::chrono::duration<double>(atS));
            asio::steady_timer timer(m_context, at);
            boost::system::error_code code;
            timer.async_wait(yield[code]);
        }

        void sendRequests(std::size_t index, const asio::yield_context& yield)
        {
            arrival_schedule schedule(m_plan, index);
            for (std::uint64_t number = 0; auto atS = schedule.next(); ++number) {
                sleepUntil(*atS, yield);
                const auto arrivalMs = *atS * 1000;
                m_reports[index].addOffered(arrivalMs);
                m_reports.back().addOffered(arrivalMs);
                asio::spawn(
                    m_context, [this, index, number, arrivalMs](const asio::yield_context& requestYield) {
                        recordResult(index, m_callers[index]->run(number, arrivalMs, requestYield));
                    });
            }
        }

        void recordResult(std::size_t index, const request_record& record)
        {
            m_reports[index].add(record);
            m_reports.back().add(record);
            if (m_hooks.recordRequest)
                m_hooks.recordRequest(record);
        }

        void showProgress(const asio::yield_context& yield)
        {
            for (double atS = 1; m_hooks.showProgress && atS < m_plan.durationS; atS += 1) {
                sleepUntil(atS, yield);
                const auto& total = m_reports.back();
                std::ostringstream line;
                line << static_cast<int>(atS) << '/' << static_cast<int>(m_plan.durationS) << " s: offered "
                     << total.getOfferedTimeline().getRate(atS - 1, atS) << "/s, whole "
                     << total.getGoodputTimeline().getRate(atS - 1, atS) << "/s";
                m_hooks.showProgress(line.str());
            }
        }

        const experiment& m_plan;
        const run_hooks& m_hooks;
        std::chrono::steady_clock::time_point m_startTime;
        asio::io_context m_context { 1 };
        std::vector<std::unique_ptr<group_caller>> m_callers;
        std::vector<group_report> m_reports;
    };

} // namespace

experiment_report runExperiment(const experiment& plan, const run_hooks& hooks)
{
    return experiment_run(plan, hooks).run();
}

} // namespace fuchsiagauge::bench
