set terminal pngcairo size 1000,500
set output "docs/figures/recovery.png"
set title "Recovery after the pressure, vysivka, each run"
set grid
set key outside
$naive << EOD
-0.1 1.5
-0.1 1.25
0.9 0.0
0.9 0.0
1.9 0.0
2.9 0.75
2.9 0.75
3.9 0.0
4.9 0.0
5.9 0.0
5.9 0.25
6.9 0.0
6.9 0.0
7.9 0.0
EOD
$ours << EOD
0.1 0.0
0.1 0.0
1.1 0.0
1.1 0.0
2.1 0.0
3.1 0.0
3.1 0.0
4.1 0.0
5.1 0.0
6.1 0.0
6.1 0.0
7.1 1.0
7.1 1.0
8.1 0.0
EOD
set ylabel 'seconds; 8: not within the run'
set yrange [-0.3:8.5]
set xrange [-0.5:8.5]
set xtics ("10x" 0, "1x" 1, "2x" 2, "5x" 3, "cold-zone" 4, "half" 5, "lying-target" 6, "slow-store" 7, "surge-retries" 8) rotate by -20
plot $naive with points pointtype 7 pointsize 1.5 title 'naive', $ours with points pointtype 5 pointsize 1.5 title 'ours', 2 with lines dashtype 2 linecolor 'gray' title 'target'
