#include "cli/commands.h"
#include "platform/platformnode.h"

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments.front() == "gateway") {
        return filbertgw::platform::runPlatformNode({arguments.begin() + 1, arguments.end()});
    }
    return filbertgw::runCommand(arguments);
}
