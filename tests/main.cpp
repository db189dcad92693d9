#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv)
{
    // Leaks are detected by the leak sanitizer instead (`make sanitize`): CppUTest's own check reports
    // objects that live until the end of the thread (the last error, tables, log buffers) as leaks of a test.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
