// SPDX-License-Identifier: Apache-2.0
#include "utilities/sumacctl/commands.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "libraries/base/text.h"
#include "libraries/codec/json_file.h"
#include "libraries/codec/json_writer.h"
#include "libraries/storage/data_folder.h"
#include "libraries/storage/posix_disk.h"
#include "utilities/sumacctl/table.h"

namespace sumac::ctl {
namespace {

using fleet::Answer;
using wire::Operator;

// The input of a command's function; `arguments` exclude the words that
// selected the command.
struct Call {
  OperatorClient& client;
  const Invocation& invocation;
  std::vector<std::string> arguments;

  const std::string& argument(std::size_t position) const {
    return this->arguments[position];
  }
  std::string optional(std::size_t position) const {
    return position < this->arguments.size() ? this->arguments[position] : "";
  }
};

using CommandFunction = std::function<Answer(const Call&)>;

struct Command {
  CommandInfo info;
  CommandFunction run;
  // The columns of the table that shows the answer; empty if the answer is not
  // shown as a table.
  std::vector<Column> columns;
};

template <typename Request>
void FillIdentity(Request& request, const Invocation& invocation) {
  auto identity = request.initIdentity();
  identity.setOperatorName(invocation.operator_name);
  identity.setRequestId(invocation.request_id);
}

Answer Get(OperatorClient& client,
           const std::string& kind,
           const std::string& name) {
  return client.Call([&](Operator::Client operator_service) {
    auto request = operator_service.getRequest();
    request.setKind(kind);
    request.setName(name);
    return request.send();
  });
}

// Returns the contents of the file at `path`, or of standard input for "-".
absl::StatusOr<std::string> ReadArgument(const std::string& path) {
  return ReadTextFile(path == "-" ? "/dev/stdin" : path);
}

Answer Apply(const Call& call) {
  const auto text = ReadArgument(call.argument(0));
  if (!text.ok()) {
    return Answer::FromStatus(text.status());
  }
  std::uint64_t expected = call.invocation.expected_revision;
  if (!call.invocation.has_expected_revision) {
    return Answer{
        .code = ResultCode::kBadArgument,
        .message =
            "apply needs --revision, the revision the file was made from; see "
            "get declaration (0 for the first)"};
  }
  return call.client.Call([&](Operator::Client operator_service) {
    auto request = operator_service.applyRequest();
    FillIdentity(request, call.invocation);
    request.setDeclaration(*text);
    request.setExpectedRevision(expected);
    return request.send();
  });
}

// Waits until all live entries use this version of the view.
Answer AwaitInForce(const Call& call, std::uint64_t version) {
  constexpr std::uint32_t kWaitMs = 5'000;
  return call.client.Call([&](Operator::Client operator_service) {
    auto request = operator_service.inForceRequest();
    request.setVersion(version);
    request.setWaitMs(kWaitMs);
    return request.send();
  });
}

Answer ApplyAndMaybeWait(const Call& call) {
  Answer applied = Apply(call);
  if (!applied.is_ok() || !call.invocation.wants_wait) {
    return applied;
  }
  return AwaitInForce(call,
                      applied.document.value("view_version", std::uint64_t{0}));
}

Answer ChangeController(const Call& call, const std::string& action) {
  return call.client.Call([&](Operator::Client operator_service) {
    auto request = operator_service.changeControllerRequest();
    FillIdentity(request, call.invocation);
    request.setAction(action);
    request.setNode(call.argument(0));
    return request.send();
  });
}

// Checks a controller's data folder directly on disk, without calling a
// process. Writes nothing.
Answer VerifyStorage(const Call& call) {
  storage::PosixDisk disk;
  const auto folder = storage::DataFolder<storage::PosixDisk>::Open(
      disk, call.argument(0), storage::StorageSettings(), false);
  if (!folder.ok()) {
    return Answer::FromStatus(folder.status());
  }
  nlohmann::json document = ToJson(folder->report());
  document["node"] = folder->identity().node.value();
  return Answer{.message = folder->report().unreadable_snapshots == 0
                               ? "the folder is whole"
                               : "the log makes up for what can't be read",
                .document = document};
}

Answer Diff(const Call& call) {
  const auto text = ReadArgument(call.argument(0));
  if (!text.ok()) {
    return Answer::FromStatus(text.status());
  }
  return call.client.Call([&](Operator::Client operator_service) {
    auto request = operator_service.diffRequest();
    request.setDeclaration(*text);
    return request.send();
  });
}

// Sends a command for one instance; `make` creates the request.
template <typename MakeRequest>
Answer Operate(const Call& call, MakeRequest make) {
  return call.client.Call([&](Operator::Client operator_service) {
    auto request = make(operator_service);
    FillIdentity(request, call.invocation);
    request.setInstance(call.argument(0));
    return request.send();
  });
}

Answer Move(const Call& call) {
  return call.client.Call([&](Operator::Client operator_service) {
    auto request = operator_service.moveRequest();
    FillIdentity(request, call.invocation);
    request.setInstance(call.argument(0));
    request.setPool(call.argument(1));
    return request.send();
  });
}

Answer SubmitJob(const Call& call) {
  const auto text = ReadArgument(call.argument(0));
  if (!text.ok()) {
    return Answer::FromStatus(text.status());
  }
  return call.client.Call([&](Operator::Client operator_service) {
    auto request = operator_service.submitJobRequest();
    FillIdentity(request, call.invocation);
    request.setJob(*text);
    return request.send();
  });
}

Answer CancelJob(const Call& call) {
  return call.client.Call([&](Operator::Client operator_service) {
    auto request = operator_service.cancelJobRequest();
    FillIdentity(request, call.invocation);
    request.setJob(call.argument(0));
    return request.send();
  });
}

Answer Evacuate(const Call& call) {
  return call.client.Call([&](Operator::Client operator_service) {
    auto request = operator_service.evacuateRequest();
    FillIdentity(request, call.invocation);
    request.setDataCentre(call.argument(0));
    request.setForce(call.invocation.is_forced);
    return request.send();
  });
}

Answer Restore(const Call& call) {
  return call.client.Call([&](Operator::Client operator_service) {
    auto request = operator_service.restoreRequest();
    FillIdentity(request, call.invocation);
    request.setDataCentre(call.argument(0));
    return request.send();
  });
}

Answer Explain(const Call& call) {
  return call.client.Call([&](Operator::Client operator_service) {
    auto request = operator_service.explainRequest();
    request.setDecisionId(call.argument(0));
    return request.send();
  });
}

Answer Why(const Call& call) {
  return call.client.Call([&](Operator::Client operator_service) {
    auto request = operator_service.whyRequest();
    request.setKind(call.argument(0));
    request.setName(call.argument(1));
    return request.send();
  });
}

const std::vector<Column>& ColumnsOf(const std::string& kind) {
  static const std::map<std::string, std::vector<Column>> kColumns = {
      {"pools",
       {{"POOL", "/name"},
        {"CAPACITY", "/capacity"},
        {"MEMBERS", "/members"},
        {"AVAILABLE", "/available"},
        {"NEEDED", "/needed"},
        {"SPARE", "/spare"}}},
      {"instances",
       {{"INSTANCE", "/target/name"},
        {"KIND", "/target/kind"},
        {"POOL", "/pool"},
        {"STATE", "/state"},
        {"DATA CENTRE", "/target/data_centre"},
        {"RACK", "/target/rack"},
        {"OPERATION", "/operation/id"},
        {"DOES", "/operation/kind"}}},
      {"services",
       {{"SERVICE", "/name"},
        {"POOL", "/pool"},
        {"REPEATABLE", "/repeatable"},
        {"CLASS", "/class"},
        {"DEADLINE MS", "/deadline_ms"}}},
      {"jobs",
       {{"JOB", "/spec/id"},
        {"POOL", "/spec/pool"},
        {"PRIORITY", "/spec/priority"},
        {"STATE", "/state"},
        {"WORKER", "/worker"},
        {"TOKEN", "/token"},
        {"DETAIL", "/detail"}}},
      {"job-list",
       {{"JOB", "/id"},
        {"QUEUE", "/queue"},
        {"CUSTOMER", "/customer"},
        {"STATE", "/state"},
        {"TASKS", "/tasks"},
        {"DONE", "/done"},
        {"REASON", "/reason"}}},
      {"workers",
       {{"WORKER", "/id"},
        {"INSTANCE", "/instance"},
        {"SERVICE", "/service"},
        {"RACK", "/rack"},
        {"STATE", "/state"},
        {"RUNS", "/runs"},
        {"FREE MILLICORES", "/free_millicores"},
        {"SILENT MS", "/silent_ms"}}},
      {"waiting",
       {{"STEP", "/step"},
        {"TASKS", "/tasks"},
        {"REASON", "/reason"},
        {"SINCE MS", "/since_ms"},
        {"WORKERS", "/workers"},
        {"WITHOUT LABEL", "/without_label"},
        {"TOO SMALL", "/too_small"},
        {"AT LIMIT", "/at_limit"},
        {"WITHOUT ROOM", "/without_room"},
        {"NOT ADMITTED", "/not_admitted"},
        {"PLACES", "/places"},
        {"FEASIBLE", "/is_feasible"},
        {"CRASHES", "/crashes"}}},
      {"waves",
       {{"WAVE", "/id"},
        {"STATE", "/state"},
        {"INSTANCES", "/instances"},
        {"OVER", "/over"},
        {"DOWN", "/down"},
        {"MOST AT ONCE", "/most_at_once"}}},
      {"queues",
       {{"QUEUE", "/name"},
        {"SERVICE", "/service"},
        {"PRIORITY", "/priority"},
        {"PENDING", "/pending"},
        {"POLICY", "/has_policy"}}},
      {"customers",
       {{"CUSTOMER", "/name"},
        {"KEYS", "/keys"},
        {"WEIGHT", "/weight"},
        {"QUOTA MILLICORES", "/quota/millicores"},
        {"USED", "/used/millicores"},
        {"UNSEEN", "/unseen/millicores"},
        {"QUOTA MB", "/quota/memory_mb"},
        {"USED MB", "/used/memory_mb"},
        {"HELD", "/is_held_by_quota"},
        {"ACTIVE JOBS", "/active_jobs"}}},
      {"data-centres",
       {{"DATA CENTRE", "/name"},
        {"USE", "/use"},
        {"VERSION", "/version"},
        {"CHANGED AT MS", "/changed_at_ms"},
        {"REQUESTED BY", "/requested_by"},
        {"WORKERS", "/workers"},
        {"RUNS", "/runs"},
        {"FREE MILLICORES", "/free_millicores"},
        {"LAST IN USE", "/is_last_in_use"}}},
      {"controllers",
       {{"NODE", "/node"},
        {"KIND", "/kind"},
        {"LEADS", "/leads"},
        {"HAS UP TO", "/match_index"},
        {"SILENT MS", "/silent_ms"}}},
  };
  static const std::vector<Column> kNone;
  const auto found = kColumns.find(kind);
  return found == kColumns.end() ? kNone : found->second;
}

const std::vector<Command>& CommandTable() {
  static const std::vector<Command> kCommands = {
      {{"apply",
        {"FILE"},
        "put a declaration in force; needs --revision; --wait until all act on "
        "it"},
       ApplyAndMaybeWait,
       {}},
      {{"diff", {"FILE"}, "what apply would change"},
       Diff,
       {{"KEY", "/key"},
        {"CHANGE", "/change"},
        {"BEFORE", "/before"},
        {"AFTER", "/after"}}},
      {{"get",
        {"KIND", "[NAME]"},
        "declaration, pools, instances, services, jobs or controllers"},
       [](const Call& call) {
         return Get(call.client, call.argument(0), call.optional(1));
       },
       {}},
      {{"drain",
        {"INSTANCE"},
        "take an instance's work away, within its pool's budget"},
       [](const Call& call) {
         return Operate(call, [](Operator::Client& operator_service) {
           return operator_service.drainRequest();
         });
       },
       {}},
      {{"undrain", {"INSTANCE"}, "give a drained instance back to its pool"},
       [](const Call& call) {
         return Operate(call, [](Operator::Client& operator_service) {
           return operator_service.undrainRequest();
         });
       },
       {}},
      {{"reboot",
        {"INSTANCE"},
        "drain an instance and have the platform reboot it"},
       [](const Call& call) {
         return Operate(call, [](Operator::Client& operator_service) {
           return operator_service.rebootRequest();
         });
       },
       {}},
      {{"move",
        {"INSTANCE", "POOL"},
        "drain an instance and put it into another pool"},
       Move,
       {}},
      {{"jobs submit", {"FILE"}, "submit a job (JSON)"}, SubmitJob, {}},
      {{"jobs cancel", {"JOB"}, "cancel a job"}, CancelJob, {}},
      {{"jobs show", {"[JOB]"}, "show one job or all"},
       [](const Call& call) {
         return Get(call.client, "jobs", call.optional(0));
       },
       ColumnsOf("jobs")},
      {{"jobs list", {}, "the jobs of steps that are not finished"},
       [](const Call& call) { return Get(call.client, "jobs", ""); },
       ColumnsOf("job-list")},
      {{"workers", {"[WORKER]"}, "the workers of a system found from seeds"},
       [](const Call& call) {
         return Get(call.client, "workers", call.optional(0));
       },
       ColumnsOf("workers")},
      {{"waiting", {"[JOB]"}, "why due steps of jobs have no place"},
       [](const Call& call) {
         return Get(call.client, "waiting", call.optional(0));
       },
       ColumnsOf("waiting")},
      {{"waves", {}, "the maintenance waves"},
       [](const Call& call) { return Get(call.client, "waves", ""); },
       ColumnsOf("waves")},
      {{"queues", {}, "the queues and how many of their jobs wait"},
       [](const Call& call) { return Get(call.client, "queues", ""); },
       ColumnsOf("queues")},
      {{"customers",
        {"[CUSTOMER]"},
        "the customers, their quotas and what they use"},
       [](const Call& call) {
         return Get(call.client, "customers", call.optional(0));
       },
       ColumnsOf("customers")},
      {{"evacuate",
        {"DATA_CENTRE"},
        "start nothing there any more; --force although nothing would be left"},
       Evacuate,
       {}},
      {{"restore", {"DATA_CENTRE"}, "return a data centre to use"},
       Restore,
       {}},
      {{"data-centres",
        {"[DATA_CENTRE]"},
        "the use of the data centres, and what is left in and beside each"},
       [](const Call& call) {
         return Get(call.client, "data-centres", call.optional(0));
       },
       ColumnsOf("data-centres")},
      {{"explain", {"DECISION"}, "explain a decision by its id"}, Explain, {}},
      {{"why",
        {"KIND", "NAME"},
        "the decisions about an instance, pool, job or request"},
       Why,
       {}},
      {{"controllers", {}, "the controllers and how far each is"},
       [](const Call& call) { return Get(call.client, "controllers", ""); },
       ColumnsOf("controllers")},
      {{"controllers add",
        {"NODE"},
        "make a learner that has caught up a voter"},
       [](const Call& call) { return ChangeController(call, "add"); },
       {}},
      {{"controllers remove", {"NODE"}, "take a replica out of the group"},
       [](const Call& call) { return ChangeController(call, "remove"); },
       {}},
      {{"controllers replace",
        {"NODE"},
        "take out a voter whose process is back with another disk"},
       [](const Call& call) { return ChangeController(call, "replace"); },
       {}},
      {{"storage verify",
        {"FOLDER"},
        "check a controller's data folder; needs no process"},
       VerifyStorage,
       {}},
      {{"hand-over", {}, "hand leadership to another controller"},
       [](const Call& call) {
         return call.client.Call([&](Operator::Client operator_service) {
           auto request = operator_service.handOverRequest();
           FillIdentity(request, call.invocation);
           return request.send();
         });
       },
       {}},
      {{"status", {}, "the process that answers, and how old what it knows is"},
       [](const Call& call) {
         return call.client.Call([](Operator::Client operator_service) {
           return operator_service.statusRequest().send();
         });
       },
       {}},
  };
  return kCommands;
}

// Finds the command that the first words name, and sets `name_word_count` to
// the number of words in its name. Names of two words are tried first.
const Command* FindCommand(const std::vector<std::string>& words,
                           std::size_t& name_word_count) {
  for (const std::size_t count : {std::size_t{2}, std::size_t{1}}) {
    if (words.size() < count) {
      continue;
    }
    const std::string name =
        count == 1 ? words[0] : StrCat(words[0], " ", words[1]);
    const auto found = std::find_if(
        CommandTable().begin(), CommandTable().end(),
        [&](const Command& command) { return command.info.name == name; });
    if (found != CommandTable().end()) {
      name_word_count = count;
      return &*found;
    }
  }
  return nullptr;
}

bool IsArgumentCountValid(const CommandInfo& info, std::size_t count) {
  const auto required = static_cast<std::size_t>(std::count_if(
      info.arguments.begin(), info.arguments.end(),
      [](const std::string& argument) { return argument.front() != '['; }));
  return count >= required && count <= info.arguments.size();
}

std::string FormatDocument(const Command& command,
                           const Invocation& invocation,
                           const nlohmann::json& document) {
  const std::string& name = command.info.name;
  if (name == "explain") {
    return FormatDecision(document);
  }
  if (name == "why") {
    std::string text;
    for (const nlohmann::json& decision : document) {
      text += FormatDecision(decision);
    }
    return text.empty() ? "no decision about it is kept\n" : text;
  }
  if (name == "diff") {
    return FormatTable(document.value("changes", nlohmann::json::array()),
                       command.columns);
  }
  const bool is_get = name == "get" && invocation.words.size() > 1;
  const std::vector<Column>& columns =
      is_get ? ColumnsOf(invocation.words[1]) : command.columns;
  if (document.is_array() && !columns.empty()) {
    return FormatTable(document, columns);
  }
  return document.is_null() ? "" : document.dump(2) + "\n";
}

}  // namespace

const std::vector<CommandInfo>& AllCommands() {
  static const std::vector<CommandInfo> kInfos = [] {
    std::vector<CommandInfo> infos;
    for (const Command& command : CommandTable()) {
      infos.push_back(command.info);
    }
    return infos;
  }();
  return kInfos;
}

Answer RunCommand(OperatorClient& client, const Invocation& invocation) {
  std::size_t name_word_count = 0;
  const Command* command = FindCommand(invocation.words, name_word_count);
  if (command == nullptr) {
    return Answer{.code = ResultCode::kBadArgument,
                  .message = "there is no such command; see --help"};
  }
  Call call{
      client, invocation,
      std::vector<std::string>(invocation.words.begin() +
                                   static_cast<std::ptrdiff_t>(name_word_count),
                               invocation.words.end())};
  if (!IsArgumentCountValid(command->info, call.arguments.size())) {
    std::string usage = command->info.name;
    for (const std::string& argument : command->info.arguments) {
      StrAppend(&usage, " ", argument);
    }
    return Answer{.code = ResultCode::kBadArgument,
                  .message = StrCat("usage: sumacctl ", usage)};
  }
  return command->run(call);
}

std::string FormatAnswer(const Invocation& invocation, const Answer& answer) {
  std::string text;
  if (!answer.is_ok()) {
    StrAppend(&text, "error ", static_cast<int>(answer.code), " (",
              InfoFor(answer.code).name, "): ", answer.message, "\n");
  } else if (!answer.message.empty()) {
    StrAppend(&text, answer.message, "\n");
  }
  if (!answer.decision.value().empty()) {
    StrAppend(&text, "decision ", answer.decision.value(), "\n");
  }
  std::size_t name_word_count = 0;
  const Command* command = FindCommand(invocation.words, name_word_count);
  if (command != nullptr && answer.is_ok() && !answer.document.is_null()) {
    text += FormatDocument(*command, invocation, answer.document);
  }
  return text;
}

std::string FormatAnswerAsJson(const Answer& answer) {
  const nlohmann::json json = {{"code", static_cast<int>(answer.code)},
                               {"name", InfoFor(answer.code).name},
                               {"message", answer.message},
                               {"decision", answer.decision.value()},
                               {"document", answer.document}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

}  // namespace sumac::ctl
