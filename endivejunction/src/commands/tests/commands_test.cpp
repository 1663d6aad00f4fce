#include <run_command.h>

#include <operator_api/operator_server.h>

#include <config/apply.h>
#include <config/validate.h>

#include <catch2/catch.hpp>

#include <memory>
#include <mutex>
#include <sstream>
#include <vector>

namespace ej::commands {

namespace {

/// A backend that accepts every valid change whose expected revision is the current one.
class fake_backend : public operator_api::operator_backend {
public:
    bool ready() override { return true; }
    operator_api::daemon_status status() override
    {
        operator_api::daemon_status status;
        status.vm = core::vm_id("recife-1");
        status.classes = {{core::class_id("dossier"), 3, std::chrono::milliseconds(40), false}};
        return status;
    }
    std::string metrics_text() override { return {}; }
    config::change_id new_change_id() override { return config::change_id("new"); }
    bool restore_platform() override { return false; }
    void drain() override {}

    config::configuration configuration_in_force() override
    {
        const std::scoped_lock lock(mutex_);
        return in_force_;
    }

    config::submission_result submit(config::change wanted) override
    {
        using config::submission_outcome;
        const std::scoped_lock lock(mutex_);
        const core::revision present = revision_of(in_force_, wanted.what);
        const core::findings faults = validate(in_force_, wanted);
        if (present != wanted.expected) {
            return {submission_outcome::conflict, present, {}, in_force_, {}};
        }
        if (!faults.empty()) {
            return {submission_outcome::invalid, {}, faults, in_force_, {}};
        }
        const core::revision next = in_force_.revision().next();
        in_force_ = apply(in_force_, {next, wanted});
        return {submission_outcome::accepted, next, {}, in_force_, {}};
    }

private:
    std::mutex mutex_;
    config::configuration in_force_;
};

struct outcome {
    int code;
    std::string out;
    std::string err;
};

outcome run(const std::vector<std::string>& arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const int code = run_command(arguments, out, err);
    return {code, out.str(), err.str()};
}

/// A daemon's operator interface, and functions that run commands against it.
class fixture {
public:
    outcome with(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(),
                         {"--operator", to_string(server_->local()), "--operator-key", "secret"});
        return run(arguments);
    }

    outcome without_key(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--operator", to_string(server_->local())});
        return run(arguments);
    }

private:
    fake_backend backend_;
    std::unique_ptr<operator_api::operator_server> server_ =
        operator_api::operator_server::start({"127.0.0.1", 0}, backend_, "secret").value();
};

} // namespace

TEST_CASE("class commands create, list, change and delete classes")
{
    fixture daemon;
    CHECK(daemon.with({"class", "create", "dossier", "--service", "m", "--finish-ms", "9"}).out ==
          "created in revision 1\n");
    CHECK(daemon.with({"class", "change", "dossier", "--kind", "generation"}).code == 0);
    const std::string listed = daemon.with({"class", "list"}).out;
    CHECK(listed.find("kind=generation name=dossier revision=2 service=m") != std::string::npos);
    CHECK(listed.find("finish_ms=9") != std::string::npos);
    CHECK(daemon.with({"class", "delete", "dossier"}).code == 0);
    CHECK(daemon.with({"class", "delete", "dossier"}).code == 1);
}

TEST_CASE("commands report conflicts, invalid fields and a missing operator key")
{
    fixture daemon;
    (void)daemon.with({"class", "create", "dossier", "--service", "m"});
    CHECK(daemon.with({"class", "create", "dossier", "--service", "m"}).code == 3);
    CHECK(daemon.with({"class", "change", "dossier", "--max-waiting", "0"}).err ==
          "invalid\ntarget.max_waiting: must be 1 to 100000 requests\n");
    (void)daemon.with({"class", "change", "dossier", "--kind", "generation"});
    CHECK(daemon.with({"class", "change", "dossier", "--if-revision", "1"}).err ==
          "conflict: the object is at revision 2\n");
    CHECK(daemon.with({"restore"}).code == 1);
    CHECK(daemon.without_key({"status"}).err == "unauthenticated\n");
}

TEST_CASE("workspace shares are set in percent, and status shows a missed target")
{
    fixture daemon;
    CHECK(daemon.with({"workspace", "create", "trawlers", "--share", "12.5", "--json"}).out ==
          "{\"revision\":1}\n");
    CHECK(daemon.with({"workspace", "list"}).out.find("share_ppm=125000") != std::string::npos);
    CHECK(daemon.with({"workspace", "delete", "trawlers"}).code == 0);
    CHECK(daemon.with({"status"}).out.find("class meets_target=false") != std::string::npos);
}

TEST_CASE("a command line with several faults reports each with its place")
{
    CHECK(run({"class", "paint"}).code == 2);
    CHECK(run({"class", "create", "--operator", "here", "--share", "101"}).err ==
          "--operator: must be HOST:PORT\n--share: must be 0 to 100 percent\nNAME: missing\n");
    const outcome help = run({"class", "create", "--help"});
    CHECK(help.code == 0);
    CHECK(help.out.find("class has 30000") != std::string::npos);
}

} // namespace ej::commands
