#include "run_command.h"

#include "change_object.h"
#include "command_row.h"
#include "create_object.h"
#include "delete_object.h"
#include "exit_code.h"
#include "list_objects.h"
#include "parse_options.h"
#include "post_command.h"
#include "reply_text.h"
#include "show_status.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ej::commands {

namespace {

constexpr unsigned status_error = 400;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_gateway_timeout = 504;

std::vector<command_row> make_rows()
{
    const auto row = [](auto group, auto verb, auto brief, std::unique_ptr<command> handler) {
        return command_row{group, verb, brief, std::move(handler)};
    };
    const auto object = [&]<class Command>(std::type_identity<Command>, auto group, auto verb,
                                           auto brief, const object_type& type) {
        return row(group, verb, brief, std::make_unique<Command>(type));
    };
    constexpr std::type_identity<create_object> create;
    constexpr std::type_identity<list_objects> list;
    constexpr std::type_identity<change_object> change;
    constexpr std::type_identity<delete_object> remove;
    std::vector<command_row> rows;
    rows.push_back(object(create, "class", "create", "create a class of work", class_type()));
    rows.push_back(object(list, "class", "list", "list the classes of work", class_type()));
    rows.push_back(object(change, "class", "change", "change a class's target", class_type()));
    rows.push_back(object(remove, "class", "delete", "delete a class of work", class_type()));
    rows.push_back(object(create, "workspace", "create", "create a workspace", workspace_type()));
    rows.push_back(object(list, "workspace", "list", "list the workspaces", workspace_type()));
    rows.push_back(
        object(change, "workspace", "change", "change a workspace's share", workspace_type()));
    rows.push_back(object(remove, "workspace", "delete", "delete a workspace", workspace_type()));
    rows.push_back(row("status", "", "show a daemon's status", std::make_unique<show_status>()));
    rows.push_back(row("drain", "", "let a daemon finish its requests and exit",
                       std::make_unique<post_command>("/drain", "draining")));
    rows.push_back(row("restore", "", "write a daemon's newer configuration back to the platform",
                       std::make_unique<post_command>("/restore", "restored")));
    return rows;
}

const std::vector<command_row>& rows()
{
    static const std::vector<command_row> all = make_rows();
    return all;
}

exit_code code_of(const operator_reply& reply)
{
    if (reply.status == 0 || reply.status == status_gateway_timeout) {
        return exit_code::unknown;
    }
    if (reply.status == status_conflict) {
        return exit_code::conflict;
    }
    return reply.status < status_error ? exit_code::done : exit_code::failed;
}

int to_int(exit_code code)
{
    return static_cast<int>(code);
}

void print_usage(std::ostream& to)
{
    to << "usage: endivejunction COMMAND [NAME] [OPTION...]\n";
    for (const command_row& row : rows()) {
        to << "  " << row.group << (row.verb.empty() ? "" : " ") << row.verb << "  " << row.brief
           << '\n';
    }
    to << options_help();
}

int report(const command& handler, const operator_reply& reply, bool json, std::ostream& out,
           std::ostream& err)
{
    const exit_code code = code_of(reply);
    std::ostream& to = code == exit_code::done ? out : err;
    const auto text = [&] {
        return code == exit_code::done ? handler.text(reply) : error_text(reply.body);
    };
    to << (json ? reply.body : text()) << '\n';
    return to_int(code);
}

const command_row* find_row(std::span<const std::string> arguments)
{
    const auto matches = [&](const command_row& row) {
        return !arguments.empty() && row.group == arguments[0] &&
               (row.verb.empty() || (arguments.size() > 1 && row.verb == arguments[1]));
    };
    const auto found = std::ranges::find_if(rows(), matches);
    return found == rows().end() ? nullptr : &*found;
}

} // namespace

bool is_operator_command(std::string_view name)
{
    return std::ranges::any_of(rows(), [&](const command_row& row) { return row.group == name; });
}

int run_command(std::span<const std::string> arguments, std::ostream& out, std::ostream& err)
{
    const command_row* const row = find_row(arguments);
    if (row == nullptr) {
        print_usage(err);
        return to_int(exit_code::usage);
    }
    core::findings faults;
    const command_options options =
        parse_options(arguments.subspan(row->verb.empty() ? 1 : 2), faults);
    if (options.help) {
        print_usage(out);
        return to_int(exit_code::done);
    }
    if (row->handler->needs_name() && options.name.empty()) {
        faults.add("NAME", "missing");
    }
    if (!faults.empty()) {
        err << faults.status().message() << '\n';
        return to_int(exit_code::usage);
    }
    const operator_client daemon(options.operator_address, options.key);
    return report(*row->handler, row->handler->run(daemon, options), options.json, out, err);
}

} // namespace ej::commands
