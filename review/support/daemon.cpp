#include "daemon.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

std::string text_of(const std::string& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// The words of `run` in the deploy file.
std::vector<std::string> deployed_command()
{
    std::istringstream lines(text_of("deploy/system.toml"));
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with("run = \"")) {
            std::istringstream words(line.substr(7, line.rfind('"') - 7));
            return {std::istream_iterator<std::string>(words), {}};
        }
    }
    return {};
}

/// The settings template of the deploy file with its placeholders filled in.
std::string settings_text(const std::map<std::string, std::string>& values)
{
    auto text = text_of("deploy/settings.conf");
    for (const auto& [name, value] : values) {
        const auto placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos;
             at = text.find(placeholder)) {
            text.replace(at, placeholder.size(), value);
        }
    }
    return text;
}

std::string local(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

entry_daemon::entry_daemon(std::string name, std::string zone, int store_port, int memory_mb,
                           const std::string& folder, record& log)
    : name_(std::move(name)), folder_(folder), log_(log), front_(free_port()), ready_(free_port()),
      command_(deployed_command())
{
    std::ofstream(folder_ + "/" + name_ + ".conf")
        << settings_text({{"nodeName", name_},
                          {"zone", std::move(zone)},
                          {"listen.front", local(front_)},
                          {"listen.ready", local(ready_)},
                          {"ip", "127.0.0.1"},
                          {"internalPorts.0", std::to_string(free_port())},
                          {"platform.address", local(store_port)},
                          {"bounds.configApplyMs", "2000"},
                          {"bounds.drainMs", "2000"},
                          {"bounds.graceS", "8"},
                          {"limits.memoryMb", std::to_string(memory_mb)},
                          {"bounds.retryBudgetRatio", "0.8"},
                          {"bounds.budgetSlack", "150"},
                          {"bounds.budgetWindowS", "10"}});
}

entry_daemon::~entry_daemon()
{
    if (running()) {
        signal(SIGTERM);
        wait_for_end(milliseconds(10'000));
    }
}

void entry_daemon::start()
{
    const auto settings = folder_ + "/" + name_ + ".conf";
    const auto output = folder_ + "/" + name_ + ".log";
    process_ = ::fork();
    if (process_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Also if the case is stopped early.
        const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::setenv("ENDIVEJUNCTION_CONFIG", settings.c_str(), 1);
        std::vector<char*> words;
        for (auto& word : command_) {
            words.push_back(word.data());
        }
        words.push_back(nullptr);
        ::execv(words.front(), words.data());
        ::_exit(127);
    }
    log_.line("daemon " + name_ + " started");
}

void entry_daemon::signal(int number) const
{
    if (process_ > 0) {
        ::kill(process_, number);
    }
}

bool entry_daemon::running()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
        process_ = -1;
    }
    return process_ > 0;
}

void entry_daemon::wait_for_end(milliseconds most)
{
    const auto until = steady::now() + most;
    while (running()) {
        if (steady::now() > until) {
            signal(SIGKILL);
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    log_.line("daemon " + name_ + " has ended");
}

bool entry_daemon::ready() const
{
    const int socket = connect_to(ready_);
    if (socket < 0) {
        return false;
    }
    connection peer(socket);
    peer.write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    const auto answer = peer.read_answer(steady::now() + milliseconds(1'000));
    return answer && answer->status() == 200;
}

bool entry_daemon::wait_ready(milliseconds most) const
{
    const auto until = steady::now() + most;
    while (!ready()) {
        if (steady::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    log_.line("daemon " + name_ + " is ready");
    return true;
}

double entry_daemon::memory_mb() const
{
    std::ifstream status("/proc/" + std::to_string(process_) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::atof(line.c_str() + 6) / 1'024;
        }
    }
    return 0;
}

} // namespace review
