4.314s edge-hall-leith-3 order sent
4.315s edge-hall-leith-3 order sent
4.771s edge-hall-leith-3 order sent
30.416s edge-hall-forth-2 instance held for lost
30.416s edge-hall-forth-2 try broke
30.416s edge-hall-leith-2 instance held for lost
30.416s edge-hall-leith-2 try broke
30.417s edge-hall-leith-4 instance held for lost
30.417s edge-hall-forth-2 try broke
30.417s edge-hall-clyde-3 instance held for lost
30.417s edge-hall-clyde-3 try broke
30.417s edge-hall-leith-5 try broke
30.417s edge-hall-leith-5 try broke
30.418s edge-hall-leith-1 try broke
30.418s edge-hall-clyde-2 instance held for lost
30.418s edge-hall-clyde-2 try broke
30.418s edge-hall-forth-1 try broke
30.418s edge-hall-leith-4 try broke
30.418s edge-hall-leith-4 try broke
30.418s edge-hall-forth-2 try broke
30.418s edge-hall-clyde-3 try broke
30.419s edge-hall-clyde-2 try broke
30.419s edge-hall-forth-1 try broke
30.419s edge-hall-forth-1 try broke
30.419s edge-hall-clyde-1 try broke
30.419s edge-hall-clyde-1 try broke
30.42s edge-hall-clyde-1 try broke
36.977s edge-hall-clyde-1 order sent
37.459s edge-hall-clyde-1 order not carried out
38.501s edge-hall-clyde-1 order not carried out
39.4s edge-hall-clyde-1 order not carried out
closed by the control loop at edge-hall-clyde-1 in term 3
