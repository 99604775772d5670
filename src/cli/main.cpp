#include "cli/commands.h"

int main(int argc, char **argv)
{
    return filbertgw::runCommand(std::vector<std::string>(argv + 1, argv + argc));
}
