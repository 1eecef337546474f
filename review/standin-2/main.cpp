#include "cases.h"
#include "lab.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <unistd.h>

/// \file
/// `lab CASE ROOT FOLDER RECORD`: plays a case; exits with 1 if the rule was broken, 0 if it held
/// and 2 if the case could not run. TROUBLE=0 leaves the disruption out.

int main(int argc, char **argv)
{
    if (argc != 5)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    std::thread([] {
        lab::pause(115);
        ::_exit(2);
    }).detach();
    const char *trouble = std::getenv("TROUBLE");
    lab::Record record(argv[4]);
    const lab::Setup setup { argv[2], argv[3], record, !trouble || std::string(trouble) != "0" };
    int code = 2;
    try {
        code = lab::play(argv[1], setup);
    } catch (const std::exception &e) {
        record.line(std::string("the case could not run: ") + e.what());
    }
    record.line("exit " + std::to_string(code));
    std::cout << argv[1] << ": "
              << (code == 0           ? "held"
                          : code == 1 ? "broken"
                                      : "could not run")
              << std::endl;
    ::_exit(code);
}
