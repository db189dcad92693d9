#include "client/command_line.h"

#include <chrono>
#include <iostream>
#include <thread>

int main(int argc, char** argv)
{
    using namespace fuchsiagauge;
    const auto steadyClock = clock::makeSteady();
    const auto sleep = [](milliseconds duration) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(duration.getCount()));
    };
    const client_environment environment { fetchAll, sleep, [&steadyClock] { return steadyClock.now(); },
        std::cout, std::cerr };
    return runCommandLine(environment, argc, argv);
}
