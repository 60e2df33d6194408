#include "cli/cli.h"

int main(int argc, char** argv)
{
    return jaynotch::run_command_line(argc, argv);
}
