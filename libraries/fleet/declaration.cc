// SPDX-License-Identifier: Apache-2.0
#include "libraries/fleet/declaration.h"

#include <algorithm>
#include <set>

#include "libraries/base/error.h"
#include "libraries/base/text.h"
#include "libraries/base/try.h"
#include "libraries/codec/json_reader.h"

namespace sumac::fleet {
namespace {

constexpr ReaderCodes kDeclarationCodes{ResultCode::kInvalidDeclaration,
                                        ResultCode::kInvalidDeclaration};

// Returns the item called `name` in a list of declared items, or null.
template <typename Item, typename Name>
const Item* FindByName(const std::vector<Item>& items, const Name& name) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [&](const Item& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

// Checks that the names of `items` are not empty and are unique.
template <typename Item>
absl::Status CheckNames(const std::vector<Item>& items, std::string_view kind) {
  std::set<std::string> seen;
  for (const Item& item : items) {
    if (item.name.value().empty()) {
      return MakeError(ResultCode::kInvalidDeclaration,
                       StrCat("a ", kind, " has no name"));
    }
    if (!seen.insert(item.name.value()).second) {
      return MakeError(
          ResultCode::kDuplicateName,
          StrCat("the ", kind, " ", item.name.value(), " is declared twice"));
    }
  }
  return absl::OkStatus();
}

}  // namespace

const Pool* Declaration::FindPool(const PoolName& name) const {
  return FindByName(this->pools, name);
}

const Service* Declaration::FindService(const ServiceName& name) const {
  return FindByName(this->services, name);
}

const Team* Declaration::FindTeam(const TeamName& name) const {
  return FindByName(this->teams, name);
}

absl::StatusOr<Declaration> ParseDeclaration(std::string_view text,
                                             std::string_view source) {
  const nlohmann::json json =
      TRY(ParseJson(text, source, ResultCode::kInvalidDeclaration));
  Declaration declaration = TRY(FromJson<Declaration>(
      json, source, UnknownKeys::kRefuse, kDeclarationCodes));
  TRY(ValidateDeclaration(declaration));
  return declaration;
}

absl::Status ValidateDeclaration(const Declaration& declaration) {
  TRY(CheckNames(declaration.pools, "pool"));
  TRY(CheckNames(declaration.services, "service"));
  TRY(CheckNames(declaration.teams, "team"));
  for (const Pool& pool : declaration.pools) {
    if (pool.budget.smallest_available > pool.capacity) {
      return MakeError(
          ResultCode::kBudgetLargerThanPool,
          StrCat("the pool ", pool.name.value(), " has a capacity of ",
                 pool.capacity, " and a budget of ",
                 pool.budget.smallest_available, " instances"));
    }
  }
  for (const Service& service : declaration.services) {
    if (declaration.FindPool(service.pool) == nullptr) {
      return MakeError(
          ResultCode::kUnknownName,
          StrCat("the service ", service.name.value(), " names the pool ",
                 service.pool.value(), ", which is not declared"));
    }
  }
  return absl::OkStatus();
}

}  // namespace sumac::fleet
