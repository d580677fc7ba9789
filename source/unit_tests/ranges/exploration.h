// Explores all sequences of steps of a model, up to a given depth.
#pragma once

#include <cstddef>
#include <set>
#include <utility>
#include <vector>

namespace mimosadeal {

struct Explored {
  size_t states = 0;      // That differ from each other.
  bool violated = false;  // In one of them; nothing deeper was explored then.
};

// `Model` has a Key(), which is equal for equal states, and a flag `violated`.
// `next_state(model, step)` returns the state after a step from 0 to
// `steps` - 1.
template <typename Model, typename NextState>
Explored ExploreSequences(Model first, int steps, int depth,
                          const NextState& next_state) {
  std::set<decltype(first.Key())> seen;
  std::vector<Model> frontier = {std::move(first)};
  Explored explored;
  for (int i = 0; i < depth && !explored.violated; ++i) {
    std::vector<Model> next;
    for (const Model& model : frontier) {
      for (int step = 0; step < steps; ++step) {
        Model after = next_state(model, step);
        if (!seen.insert(after.Key()).second) continue;
        explored.violated |= after.violated;
        next.push_back(std::move(after));
      }
    }
    frontier = std::move(next);
  }
  explored.states = seen.size();
  return explored;
}

}  // namespace mimosadeal
