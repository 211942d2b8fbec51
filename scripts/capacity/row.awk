# Two snapshots of every host, side by side, into one row: means a host.
# Fields of a snapshot: 1 time, 2 ticks, 3 RSS kB, 4 anonymous RSS kB, 5 peer bytes out,
# 6 in, 7 get, 8 put, 9 delete, 10 list, 11 watch, 12 hosts, 13 platform bytes
# sent, 14 received, 15 heap bytes, 16 goroutines.
BEGIN { width = 16; hz = 100 }
{
	took = $(width + 1) - $1
	cpu = ($(width + 2) - $2) / hz / took * 100
	cpus += cpu
	if (cpu > cpu_max) cpu_max = cpu
	rss += $(width + 3) / 1024
	if ($(width + 3) / 1024 > rss_max) rss_max = $(width + 3) / 1024
	for (i = 5; i <= 14; i++) rate[i] += ($(width + i) - $i) / took
	anon += $(width + 4) / 1024
	heap += $(width + 15) / 1048576
	goroutines += $(width + 16)
}
END {
	split(size, s, " ")
	split(platform, p, " ")
	split(runners, r, " ")
	print "hosts\trunners\tcustomers\tmodels\tload1\tcpu%\tcpu%max\trss_MB\trss_max\tanon_MB\theap_MB\tgoroutines\tpeer_out_B/s\tpeer_in_B/s\tget/s\tput/s\tlist/s\twatch/s\thosts/s\tplat_sent_B/s\tplat_recv_B/s\tprobe_calls/s\tprobe_B/s\tprobe_conns/s\tplat_total_calls/s\tplat_refused/s\tplat_total_B/s\tplat_cpu%\tprocs"
	printf "%d\t%d\t%d\t%d\t%s\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.1f\t%.0f\t%.2f\t%.2f\t%.2f\t%.0f\t%.1f\t%d\n", \
		s[1], s[2], s[3], s[4], load, cpus / NR, cpu_max, rss / NR, rss_max, anon / NR, heap / NR, goroutines / NR, \
		rate[5] / NR, rate[6] / NR, rate[7] / NR, rate[8] / NR, rate[10] / NR, rate[11] / NR, rate[12] / NR, rate[13] / NR, rate[14] / NR, \
		r[1] / NR, r[2] / NR, r[3] / NR, p[1], p[2], p[3], platform_cpu, procs
}
