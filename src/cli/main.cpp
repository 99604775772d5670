#include "cli/commands.h"
#include "cli/explain.h"
#include "platform/platformnode.h"

#include <iostream>

namespace {

int explain(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 1 || arguments.front() == "--help") {
        std::cerr
            << "usage: filbertgw explain ID < LOGS\n"
               "Prints the log lines of a request or program from the logs of one or more nodes, sorted by time.\n";
        return filbertgw::exitUsage;
    }
    return filbertgw::explainRequest(arguments.front(), std::cin, std::cout) > 0 ? filbertgw::exitSuccess
                                                                                 : filbertgw::exitFailure;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const std::string command = arguments.empty() ? std::string() : arguments.front();
    const std::vector<std::string> rest(arguments.begin() + (arguments.empty() ? 0 : 1), arguments.end());
    if (command == "gateway") {
        return filbertgw::platform::runPlatformNode(rest);
    }
    if (command == "explain") {
        return explain(rest);
    }
    return filbertgw::runCommand(arguments);
}
