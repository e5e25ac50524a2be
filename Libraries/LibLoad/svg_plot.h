#ifndef PARSLEYSPINDLE_LIBLOAD_SVG_PLOT_H
#define PARSLEYSPINDLE_LIBLOAD_SVG_PLOT_H

#include <span>
#include <string>
#include <vector>

namespace spindle {

/// A line of a plot: one value for each step of the horizontal axis.
struct plot_line {
  std::string Name;
  std::vector<double> Values;
};

/// The title of a plot and the names of its axes.
struct plot_text {
  std::string Title;
  std::string Horizontal;
  std::string Vertical;
};

/// Draws lines over a common scale as an SVG image. Thread-safe.
std::string drawPlot(const plot_text &Text, std::span<const plot_line> Lines);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOAD_SVG_PLOT_H
